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
 * Attacks a local system with a seeded schedule of faults and checks the product's promises.
 *
 * <p>Example: {@code alderyard prove --seconds 300 --seed 7}
 */
public final class ProveCommand implements Command {
  private static final String ALLOW_UNPROVED = "allow-unproved";
  private static final Attack.Presets PRESETS = new Attack.Presets(6, 60, 60, 3, false);
  private static final CommandSpec SPEC =
      new CommandSpec(
          "prove",
          "attack a small system here with faults and check every promise",
          List.of(),
          PRESETS
              .addTo(new Options())
              .addOption(valued("seed", "N", "start of all random choices; default 1"))
              .addOption(
                  flag(ALLOW_UNPROVED, "a run too short to attack every promise is no failure"))
              .addOption(flag(CommonOptions.JSON, "print the report as JSON")));

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    long seed = invocation.numberOption("seed", 1, 0, Integer.MAX_VALUE);
    Attack attack = Attack.read(invocation, PRESETS);
    try {
      Path folder = Files.createTempDirectory("alderyard-prove");
      invocation.err().println("settings, data and logs: " + folder);
      PromiseReport report =
          attack.run(folder, seed, new FaultSchedule(seed)::next, invocation.err()::println);
      invocation
          .out()
          .println(
              invocation.hasOption(CommonOptions.JSON)
                  ? Json.pretty(report.toJson())
                  : report.toText());
      boolean attacked = report.allAttacked() || invocation.hasOption(ALLOW_UNPROVED);
      return report.unbroken() && attacked ? ExitCode.OK : ExitCode.FAILED;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
