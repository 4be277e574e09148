package org.alderyard.cli.prove;

import static org.alderyard.cli.command.OptionNames.valued;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.Invocation;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.cli.local.SystemPlan;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.daemon.ExitCode;
import org.apache.commons.cli.Options;

/**
 * Attacks one local system after the other, each with its own seed, and sums up what was checked.
 *
 * <p>Hosts and servers are reached through links, so that networks fail as well as processes. The
 * logs of a seed that failed are kept. Example: {@code alderyard soak --first-seed 1 --seeds 50}
 */
public final class SoakCommand implements Command {
  private static final CommandSpec SPEC =
      new CommandSpec(
          "soak",
          "attack systems here with overlapping faults, seed after seed",
          List.of(),
          new Options()
              .addOption(valued("first-seed", "N", "the first seed; default 1"))
              .addOption(valued("seeds", "N", "how many seeds, 1 to 10000; default 5"))
              .addOption(valued("seconds", "N", "how long each, 5 to 86400; default 20"))
              .addOption(valued("hosts", "N", "entry hosts, 4 to 12; default 4"))
              .addOption(valued("rate", "N", "actions a second of each workload; default 30")));
  private static final int CONTROL_HOSTS = 3;
  private static final int GROUPS = 2;
  private static final int APPLY_LAG_MILLIS = 50;

  private final Map<String, Integer> faults = new TreeMap<>();
  private final Map<String, long[]> promises = new TreeMap<>();
  private final List<String> failures = new ArrayList<>();

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    long first = invocation.number("first-seed", 1, 0, Integer.MAX_VALUE);
    long count = invocation.number("seeds", 5, 1, 10_000);
    for (long seed = first; seed < first + count; seed++) {
      attack(invocation, seed);
    }
    invocation.out().println(table(first, count));
    return failures.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
  }

  private void attack(Invocation invocation, long seed) {
    int hosts = (int) invocation.number("hosts", 4, CONTROL_HOSTS + 1, 12);
    Duration duration = Duration.ofSeconds(invocation.number("seconds", 20, 5, 86_400));
    int rate = (int) invocation.number("rate", 30, 1, 10_000);
    SystemPlan plan = new SystemPlan(hosts, CONTROL_HOSTS, GROUPS, true, APPLY_LAG_MILLIS);
    try {
      Path folder = Files.createTempDirectory("alderyard-soak-" + seed + "-");
      String failure = "";
      try (LocalSystem system = new LocalSystem(plan, folder)) {
        system.start();
        PromiseReport report =
            new Experiment(
                    system,
                    duration,
                    rate,
                    seed,
                    new OverlapSchedule(seed)::next,
                    line -> invocation.err().println("seed " + seed + " " + line))
                .run();
        add(report);
        failure = report.unbroken() ? "" : report.toText();
      } catch (AlderyardException broken) {
        failure = broken.getMessage();
      }
      if (failure.isEmpty()) {
        delete(folder);
      } else {
        Files.writeString(folder.resolve("report.txt"), failure);
        failures.add("seed " + seed + ": " + folder + System.lineSeparator() + failure);
      }
      invocation.err().println("seed " + seed + (failure.isEmpty() ? " kept" : " FAILED"));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private void add(PromiseReport report) {
    report.faults().forEach((name, count) -> faults.merge(name, count, Integer::sum));
    for (PromiseRow row : report.rows()) {
      long[] sums = promises.computeIfAbsent(row.promise(), promise -> new long[2]);
      sums[0] += row.attempts();
      sums[1] += row.violations();
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  private String table(long first, long count) {
    StringBuilder text = new StringBuilder();
    text.append(String.format("seeds %d to %d%n", first, first + count - 1));
    promises.forEach(
        (promise, sums) ->
            text.append(String.format("%-62s %9d checks %6d broken%n", promise, sums[0], sums[1])));
    Map<String, Integer> kinds = new TreeMap<>();
    faults.forEach(
        (name, times) ->
            Stream.of(name.split(" \\+ ")).forEach(kind -> kinds.merge(kind, times, Integer::sum)));
    kinds.forEach((kind, times) -> text.append(String.format("  %-60s %9d%n", kind, times)));
    text.append(String.format("failed seeds: %d%n", failures.size()));
    failures.forEach(failure -> text.append(failure).append(System.lineSeparator()));
    return text.toString();
  }
}
