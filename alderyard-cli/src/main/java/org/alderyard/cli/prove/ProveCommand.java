package org.alderyard.cli.prove;

import static org.alderyard.cli.command.CommonOptions.flag;
import static org.alderyard.cli.command.CommonOptions.valued;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.CommonOptions;
import org.alderyard.cli.command.Invocation;
import org.alderyard.common.http.Json;
import org.alderyard.daemon.ExitCode;
import org.apache.commons.cli.Options;

/**
 * Injects a seeded sequence of faults into a local system and checks the promises of the product.
 *
 * <p>Example: {@code alderyard prove --seconds 300 --seed 7}
 */
public final class ProveCommand implements Command {
  private static final String ALLOW_UNPROVED = "allow-unproved";
  private static final ExperimentPlan.Defaults DEFAULTS =
      new ExperimentPlan.Defaults(6, 60, 60, 3, false, false);
  private static final CommandSpec SPEC =
      new CommandSpec(
          "prove",
          "inject faults into a small local system and check every promise",
          List.of(),
          DEFAULTS
              .addTo(new Options())
              .addOption(valued("seed", "N", "seed of the random number generators; default 1"))
              .addOption(
                  flag(
                      ALLOW_UNPROVED, "succeed even if the run is too short to test every promise"))
              .addOption(flag(CommonOptions.JSON, "print the report as JSON")));

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    long seed = invocation.numberOption("seed", 1, 0, Integer.MAX_VALUE);
    ExperimentPlan plan = ExperimentPlan.read(invocation, DEFAULTS);
    try {
      Path folder = Files.createTempDirectory("alderyard-prove");
      invocation.err().println("settings, data and logs: " + folder);
      PromiseReport report =
          plan.run(folder, seed, new FaultSchedule(seed)::next, invocation.err()::println);
      invocation
          .out()
          .println(
              invocation.hasOption(CommonOptions.JSON)
                  ? Json.pretty(report.toJson())
                  : report.toText());
      boolean tested = report.allTested() || invocation.hasOption(ALLOW_UNPROVED);
      return report.isClean() && tested ? ExitCode.OK : ExitCode.FAILED;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
