package org.alderyard.benchmarks.view;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.slf4j.LoggerFactory;

/** Runs the named benchmarks of tickets and views, or all without arguments. */
public final class ViewBenchmarks {
  private static final List<String> ALL = List.of("restart", "in-force", "leader-loss", "fan-out");

  private ViewBenchmarks() {}

  /** Runs the benchmarks named by the arguments; without arguments, all. */
  public static void main(String[] args) throws Exception {
    List<String> names = args.length == 0 ? ALL : List.of(args);
    // One log line per view at each of 1,000 subscribers would dominate the measurement.
    ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.ERROR);
    Path root = Files.createTempDirectory("alderyard-views");
    for (String name : names) {
      Path folder = Files.createDirectories(root.resolve(name));
      switch (name) {
        case "restart" -> new RestartBenchmark().run(System.out);
        case "in-force" -> new InForceBenchmark().run(folder, System.out);
        case "leader-loss" -> new LeaderLossBenchmark().run(folder, System.out);
        case "fan-out" -> new FanOutBenchmark().run(folder, System.out);
        default -> {
          System.err.println("unknown benchmark '" + name + "'; accepted: " + ALL);
          System.exit(2);
        }
      }
    }
    // Ends the remaining threads of loggers and pools, which have no pending work.
    System.exit(0);
  }
}
