package org.alderyard.cli.demo;

import static org.alderyard.cli.command.CommonOptions.flag;
import static org.alderyard.cli.command.CommonOptions.valued;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.Invocation;
import org.alderyard.cli.load.LoadPlan;
import org.alderyard.cli.load.LoadReport;
import org.alderyard.cli.load.LoadRun;
import org.alderyard.cli.load.WorkloadMix;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.cli.local.SystemPlan;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.daemon.ExitCode;
import org.apache.commons.cli.Options;

/** Runs both workloads on a small local system, kills a primary halfway, and prints a report. */
public final class DemoCommand implements Command {
  private static final CommandSpec SPEC =
      new CommandSpec(
          "demo",
          "start a small local system, generate load, kill a primary, and report",
          List.of(),
          new Options()
              .addOption(valued("seconds", "N", "duration of the load, 4 to 600; default 20"))
              .addOption(valued("rate", "N", "actions per second of each workload; default 150"))
              .addOption(flag("keep", "keep the folder with settings and logs")));
  private static final SystemPlan SYSTEM_PLAN = new SystemPlan(5, 3, 3, false, 50, false);
  private static final int DEFAULT_SECONDS = 20;
  private static final int DEFAULT_RATE = 150;
  private static final int KEY_COUNT = 200;
  private static final Duration REQUEST_DEADLINE = Duration.ofSeconds(8);

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    int seconds = (int) invocation.numberOption("seconds", DEFAULT_SECONDS, 4, 600);
    int rate = (int) invocation.numberOption("rate", DEFAULT_RATE, 1, 10_000);
    Path folder = temporaryFolder();
    boolean passed = false;
    try (LocalSystem system = new LocalSystem(SYSTEM_PLAN, folder)) {
      invocation.out().println("starting 5 hosts and 9 stand-in servers ...");
      system.start();
      passed = runUnderLoad(system, seconds, rate, invocation.out());
      return passed ? ExitCode.OK : ExitCode.FAILED;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } finally {
      if (passed && !invocation.hasOption("keep")) {
        deleteRecursively(folder);
      } else {
        invocation.out().println("settings and logs: " + folder);
      }
    }
  }

  private static boolean runUnderLoad(LocalSystem system, int seconds, int rate, PrintStream out) {
    out.println(
        "generating load for " + seconds + " s, " + rate + " actions/s of each workload ...");
    Duration duration = Duration.ofSeconds(seconds);
    final CompletableFuture<LoadReport> listings =
        CompletableFuture.supplyAsync(
            () -> load(system, LocalSystem.POOLS.get(0), WorkloadMix.BRAZOS, duration, rate, 1));
    final CompletableFuture<LoadReport> orders =
        CompletableFuture.supplyAsync(
            () -> load(system, LocalSystem.POOLS.get(1), WorkloadMix.LE_GOFF, duration, rate, 2));
    LockSupport.parkNanos(duration.dividedBy(2).toNanos());
    String group = SYSTEM_PLAN.groups().get(0);
    String primary = system.awaitPrimaryOf(group);
    system.killServer(primary);
    out.println("killed " + primary + ", the primary of " + group);
    return report(system, listings.join(), orders.join(), primary, out);
  }

  private static LoadReport load(
      LocalSystem system, String pool, WorkloadMix mix, Duration duration, int rate, long seed) {
    LoadPlan plan =
        new LoadPlan(
            system::callerPorts, pool, mix, rate, duration, KEY_COUNT, seed, REQUEST_DEADLINE);
    return new LoadRun(plan, MonotonicClock.system(), line -> {}).run();
  }

  private static boolean report(
      LocalSystem system, LoadReport listings, LoadReport orders, String killed, PrintStream out) {
    out.println();
    out.println("== seminar listings (mostly reads)");
    out.print(listings.toText());
    out.println();
    out.println("== orders (each exactly once)");
    out.print(orders.toText());
    out.println();
    String group = SYSTEM_PLAN.groups().get(0);
    boolean replaced =
        system.primaryOf(group).filter(primary -> !primary.equals(killed)).isPresent();
    out.println(
        "failover gap of "
            + group
            + ": "
            + orders.longestWriteGapMillis().getOrDefault(group, -1L)
            + " ms; new primary: "
            + system.primaryOf(group).orElse("none"));
    boolean servedAllGroups = servesAllGroups(listings) && servesAllGroups(orders);
    boolean passed = listings.isClean() && orders.isClean() && replaced && servedAllGroups;
    out.println(passed ? "PASSED: no violation" : "FAILED");
    return passed;
  }

  /** Checks that writes succeeded: a system that rejects all requests breaks no promise. */
  private static boolean servesAllGroups(LoadReport report) {
    return report.longestWriteGapMillis().keySet().containsAll(SYSTEM_PLAN.groups());
  }

  private static Path temporaryFolder() {
    try {
      return Files.createTempDirectory("alderyard-demo");
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static void deleteRecursively(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
