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
 * The parameters of an experiment that injects faults into a local system under load.
 *
 * @param plan size and options of the system
 * @param duration time during which faults are injected
 * @param ratePerSecond actions per second of each workload
 */
record ExperimentPlan(SystemPlan plan, Duration duration, int ratePerSecond) {
  private static final String SECONDS = "seconds";
  private static final String HOSTS = "hosts";
  private static final String RATE = "rate";
  private static final int CONTROL_HOSTS = 3;
  private static final int APPLY_LAG_MILLIS = 50;

  /**
   * Default values of the options, and parameters that no option changes.
   *
   * @param hosts default number of entry hosts
   * @param seconds default duration
   * @param ratePerSecond default number of actions per second of each workload
   * @param groups number of database groups
   * @param linked whether network faults are injected as well as process faults
   * @param replaceable whether control hosts are replaced by others
   */
  record Defaults(
      int hosts, int seconds, int ratePerSecond, int groups, boolean linked, boolean replaceable) {

    /** Adds the options that {@link ExperimentPlan#read} reads. */
    Options addTo(Options options) {
      return options
          .addOption(valued(SECONDS, "N", "duration, 5 to 86400; default " + seconds))
          .addOption(
              valued(
                  HOSTS, "N", "entry hosts, 4 to 12, of which three have a disk; default " + hosts))
          .addOption(
              valued(RATE, "N", "actions per second of each workload; default " + ratePerSecond));
    }
  }

  static ExperimentPlan read(Invocation invocation, Defaults defaults) {
    int hosts = (int) invocation.numberOption(HOSTS, defaults.hosts(), CONTROL_HOSTS + 1, 12);
    return new ExperimentPlan(
        new SystemPlan(
            hosts,
            CONTROL_HOSTS,
            defaults.groups(),
            defaults.linked(),
            APPLY_LAG_MILLIS,
            defaults.replaceable()),
        Duration.ofSeconds(invocation.numberOption(SECONDS, defaults.seconds(), 5, 86_400)),
        (int) invocation.numberOption(RATE, defaults.ratePerSecond(), 1, 10_000));
  }

  /** Starts a system in the folder, injects faults, stops the system and returns the report. */
  PromiseReport run(Path folder, long seed, Supplier<Fault> nextFault, Consumer<String> progress)
      throws IOException {
    try (LocalSystem system = new LocalSystem(plan, folder)) {
      system.start();
      return new Experiment(system, duration, ratePerSecond, seed, nextFault, progress).run();
    }
  }
}
