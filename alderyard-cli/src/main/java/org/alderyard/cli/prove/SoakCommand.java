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
 * Attacks one local system after the other, each with its own seed, and sums up what was checked.
 *
 * <p>Hosts and servers are reached through links, so that networks fail as well as processes. The
 * logs of a seed that failed are kept. Example: {@code alderyard soak --first-seed 1 --seeds 50}
 */
public final class SoakCommand implements Command {
  private static final Attack.Presets PRESETS = new Attack.Presets(4, 20, 30, 2, true);
  private static final CommandSpec SPEC =
      new CommandSpec(
          "soak",
          "attack systems here with overlapping faults, seed after seed",
          List.of(),
          PRESETS
              .addTo(new Options())
              .addOption(valued("first-seed", "N", "the first seed; default 1"))
              .addOption(valued("seeds", "N", "how many seeds, 1 to 10000; default 5")));

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    long first = invocation.numberOption("first-seed", 1, 0, Integer.MAX_VALUE);
    long count = invocation.numberOption("seeds", 5, 1, 10_000);
    Attack attack = Attack.read(invocation, PRESETS);
    SoakReport soak = new SoakReport();
    for (long seed = first; seed < first + count; seed++) {
      attack(attack, seed, soak, invocation.err());
    }
    invocation.out().println(soak.toText(first, count));
    return soak.unbroken() ? ExitCode.OK : ExitCode.FAILED;
  }

  private static void attack(Attack attack, long seed, SoakReport soak, PrintStream progress) {
    try {
      Path folder = Files.createTempDirectory("alderyard-soak-" + seed + "-");
      Optional<String> failure = failure(attack, folder, seed, soak, progress);
      if (failure.isEmpty()) {
        delete(folder);
      } else {
        Files.writeString(folder.resolve("report.txt"), failure.get());
        soak.addFailure(seed, folder + System.lineSeparator() + failure.get());
      }
      progress.println("seed " + seed + (failure.isEmpty() ? " kept" : " FAILED"));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns what broke, or why the system could not be attacked. */
  private static Optional<String> failure(
      Attack attack, Path folder, long seed, SoakReport soak, PrintStream progress)
      throws IOException {
    try {
      PromiseReport report =
          attack.run(
              folder,
              seed,
              new OverlapSchedule(seed)::next,
              line -> progress.println("seed " + seed + " " + line));
      soak.add(report);
      return report.unbroken() ? Optional.empty() : Optional.of(report.toText());
    } catch (AlderyardException broken) {
      return Optional.of(broken.getMessage());
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
