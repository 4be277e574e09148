package org.alderyard.cli.prove;

import static org.alderyard.cli.command.OptionNames.flag;
import static org.alderyard.cli.command.OptionNames.valued;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.Invocation;
import org.alderyard.cli.command.OptionNames;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.cli.local.SystemPlan;
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
  private static final CommandSpec SPEC =
      new CommandSpec(
          "prove",
          "attack a small system here with faults and check every promise",
          List.of(),
          new Options()
              .addOption(valued("seconds", "N", "how long, 5 to 86400; default 60"))
              .addOption(valued("hosts", "N", "entry hosts, 4 to 12; three have a disk; default 6"))
              .addOption(valued("rate", "N", "actions a second of each workload; default 60"))
              .addOption(valued("seed", "N", "start of all random choices; default 1"))
              .addOption(
                  flag(ALLOW_UNPROVED, "a run too short to attack every promise is no failure"))
              .addOption(flag(OptionNames.JSON, "print the report as JSON")));
  private static final int CONTROL_HOSTS = 3;
  private static final int GROUPS = 3;
  private static final int APPLY_LAG_MILLIS = 50;

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    int hosts = (int) invocation.number("hosts", 6, CONTROL_HOSTS + 1, 12);
    Duration duration = Duration.ofSeconds(invocation.number("seconds", 60, 5, 86_400));
    int rate = (int) invocation.number("rate", 60, 1, 10_000);
    long seed = invocation.number("seed", 1, 0, Integer.MAX_VALUE);
    SystemPlan plan = new SystemPlan(hosts, CONTROL_HOSTS, GROUPS, false, APPLY_LAG_MILLIS);
    try {
      Path folder = Files.createTempDirectory("alderyard-prove");
      invocation.err().println("settings, data and logs: " + folder);
      try (LocalSystem system = new LocalSystem(plan, folder)) {
        system.start();
        PromiseReport report =
            new Experiment(
                    system,
                    duration,
                    rate,
                    seed,
                    new FaultSchedule(seed)::next,
                    invocation.err()::println)
                .run();
        invocation
            .out()
            .println(
                invocation.has(OptionNames.JSON) ? Json.pretty(report.toJson()) : report.toText());
        boolean attacked = report.allAttacked() || invocation.has(ALLOW_UNPROVED);
        return report.unbroken() && attacked ? ExitCode.OK : ExitCode.FAILED;
      }
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
