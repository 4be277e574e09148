package org.alderyard.benchmarks.view;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.slf4j.LoggerFactory;

/** Runs the benchmarks of tickets and views; arguments name them, none runs all. */
public final class ViewBenchmarks {
  private static final List<String> ALL = List.of("restart", "in-force", "leader-loss", "fan-out");

  private ViewBenchmarks() {}

  /** Runs the benchmarks that are named. */
  public static void main(String[] args) throws Exception {
    List<String> names = args.length == 0 ? ALL : List.of(args);
    // A line for each view at each of 1,000 subscribers would be most of what is measured.
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
    // The daemons' loggers and pools hold no work any more.
    System.exit(0);
  }
}
