package org.alderyard.cli.prove;

import static org.alderyard.cli.command.CommonOptions.valued;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.Invocation;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.daemon.ExitCode;
import org.apache.commons.cli.Options;

/**
 * Runs an experiment on a new local system for each seed, and adds up the results.
 *
 * <p>Connections pass through links, so that network faults can be injected as well as process
 * faults. The logs of failed seeds are kept. Example: {@code alderyard soak --first-seed 1 --seeds
 * 50}
 */
public final class SoakCommand implements Command {
  private static final ExperimentPlan.Defaults DEFAULTS =
      new ExperimentPlan.Defaults(4, 20, 30, 2, true, true);
  private static final CommandSpec SPEC =
      new CommandSpec(
          "soak",
          "inject overlapping faults into local systems, one system per seed",
          List.of(),
          DEFAULTS
              .addTo(new Options())
              .addOption(valued("first-seed", "N", "the first seed; default 1"))
              .addOption(valued("seeds", "N", "number of seeds, 1 to 10000; default 5"))
              .addOption(valued("only", "TEXT", "only process faults whose names contain it")));

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    long firstSeed = invocation.numberOption("first-seed", 1, 0, Integer.MAX_VALUE);
    long seedCount = invocation.numberOption("seeds", 5, 1, 10_000);
    ExperimentPlan plan = ExperimentPlan.read(invocation, DEFAULTS);
    SoakReport soakReport = new SoakReport();
    for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
      runSeed(plan, invocation.option("only").orElse(""), seed, soakReport, invocation.err());
    }
    invocation.out().println(soakReport.toText(firstSeed, seedCount));
    return soakReport.allPassed() ? ExitCode.OK : ExitCode.FAILED;
  }

  private static void runSeed(
      ExperimentPlan plan,
      String onlyWith,
      long seed,
      SoakReport soakReport,
      PrintStream progress) {
    try {
      Path folder = Files.createTempDirectory("alderyard-soak-" + seed + "-");
      Optional<String> failure = failure(plan, folder, onlyWith, seed, soakReport, progress);
      if (failure.isEmpty()) {
        deleteRecursively(folder);
      } else {
        Files.writeString(folder.resolve("report.txt"), failure.get());
        soakReport.addFailure(seed, folder + System.lineSeparator() + failure.get());
      }
      progress.println("seed " + seed + (failure.isEmpty() ? " passed" : " FAILED"));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns the report or error of a failed experiment, or empty if the experiment passed. */
  private static Optional<String> failure(
      ExperimentPlan plan,
      Path folder,
      String onlyWith,
      long seed,
      SoakReport soakReport,
      PrintStream progress)
      throws IOException {
    try {
      PromiseReport report =
          plan.run(
              folder,
              seed,
              new OverlapSchedule(seed, onlyWith)::next,
              line -> progress.println("seed " + seed + " " + line));
      soakReport.add(report);
      return report.isClean() ? Optional.empty() : Optional.of(report.toText());
    } catch (AlderyardException exception) {
      return Optional.of(exception.getMessage());
    }
  }

  private static void deleteRecursively(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
