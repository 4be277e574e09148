package org.alderyard.cli.prove;

import static org.alderyard.cli.command.CommonOptions.valued;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.alderyard.cli.command.Invocation;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.cli.local.SystemPlan;
import org.apache.commons.cli.Options;

/**
 * A local system under load and faults, as a command line describes it.
 *
 * @param plan the size of the system
 * @param duration how long it is attacked
 * @param ratePerSecond actions of each workload
 */
record Attack(SystemPlan plan, Duration duration, int ratePerSecond) {
  private static final String SECONDS = "seconds";
  private static final String HOSTS = "hosts";
  private static final String RATE = "rate";
  private static final int CONTROL_HOSTS = 3;
  private static final int APPLY_LAG_MILLIS = 50;

  /**
   * What holds where the command line says nothing, and what no option changes.
   *
   * @param hosts entry hosts
   * @param seconds how long
   * @param ratePerSecond actions of each workload
   * @param groups database groups
   * @param linked whether networks fail as well as processes
   */
  record Presets(int hosts, int seconds, int ratePerSecond, int groups, boolean linked) {

    /** Adds the options that {@link Attack#read} reads. */
    Options addTo(Options options) {
      return options
          .addOption(valued(SECONDS, "N", "how long, 5 to 86400; default " + seconds))
          .addOption(
              valued(HOSTS, "N", "entry hosts, 4 to 12; three have a disk; default " + hosts))
          .addOption(
              valued(RATE, "N", "actions a second of each workload; default " + ratePerSecond));
    }
  }

  static Attack read(Invocation invocation, Presets presets) {
    int hosts = (int) invocation.numberOption(HOSTS, presets.hosts(), CONTROL_HOSTS + 1, 12);
    return new Attack(
        new SystemPlan(hosts, CONTROL_HOSTS, presets.groups(), presets.linked(), APPLY_LAG_MILLIS),
        Duration.ofSeconds(invocation.numberOption(SECONDS, presets.seconds(), 5, 86_400)),
        (int) invocation.numberOption(RATE, presets.ratePerSecond(), 1, 10_000));
  }

  /** Starts the system in a folder, attacks it, ends it and returns how the promises fared. */
  PromiseReport run(Path folder, long seed, Supplier<Fault> schedule, Consumer<String> progress)
      throws IOException {
    try (LocalSystem system = new LocalSystem(plan, folder)) {
      system.start();
      return new Experiment(system, duration, ratePerSecond, seed, schedule, progress).run();
    }
  }
}
