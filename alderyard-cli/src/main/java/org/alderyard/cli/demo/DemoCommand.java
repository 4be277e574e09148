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
import org.alderyard.cli.load.Mix;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.cli.local.SystemPlan;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.daemon.ExitCode;
import org.apache.commons.cli.Options;

/** Starts a small system, drives both workloads, kills a primary in the middle, and reports. */
public final class DemoCommand implements Command {
  private static final CommandSpec SPEC =
      new CommandSpec(
          "demo",
          "start a small system here, put load on it, kill a primary, and report",
          List.of(),
          new Options()
              .addOption(valued("seconds", "N", "how long the load lasts, 4 to 600; default 20"))
              .addOption(valued("rate", "N", "actions a second of each workload; default 150"))
              .addOption(flag("keep", "keep the folder with settings and logs")));
  private static final SystemPlan PLAN = new SystemPlan(5, 3, 3, false, 50);
  private static final int DEFAULT_SECONDS = 20;
  private static final int DEFAULT_RATE = 150;
  private static final int KEYS = 200;
  private static final Duration DEADLINE = Duration.ofSeconds(8);

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    int seconds = (int) invocation.numberOption("seconds", DEFAULT_SECONDS, 4, 600);
    int rate = (int) invocation.numberOption("rate", DEFAULT_RATE, 1, 10_000);
    Path folder = temporaryFolder();
    boolean good = false;
    try (LocalSystem system = new LocalSystem(PLAN, folder)) {
      invocation.out().println("starting 5 hosts and 9 stand-in servers ...");
      system.start();
      good = underLoad(system, seconds, rate, invocation.out());
      return good ? ExitCode.OK : ExitCode.FAILED;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } finally {
      if (good && !invocation.hasOption("keep")) {
        delete(folder);
      } else {
        invocation.out().println("settings and logs: " + folder);
      }
    }
  }

  private static boolean underLoad(LocalSystem system, int seconds, int rate, PrintStream out) {
    out.println("load for " + seconds + " s, " + rate + " actions/s of each workload ...");
    Duration duration = Duration.ofSeconds(seconds);
    final CompletableFuture<LoadReport> listings =
        CompletableFuture.supplyAsync(
            () -> load(system, LocalSystem.POOLS.get(0), Mix.BRAZOS, duration, rate, 1));
    final CompletableFuture<LoadReport> orders =
        CompletableFuture.supplyAsync(
            () -> load(system, LocalSystem.POOLS.get(1), Mix.LE_GOFF, duration, rate, 2));
    LockSupport.parkNanos(duration.dividedBy(2).toNanos());
    String group = PLAN.groups().get(0);
    String primary = system.awaitPrimaryOf(group);
    system.killServer(primary);
    out.println("killed " + primary + ", the primary of " + group);
    return report(system, listings.join(), orders.join(), primary, out);
  }

  private static LoadReport load(
      LocalSystem system, String pool, Mix mix, Duration duration, int rate, long seed) {
    LoadPlan plan =
        new LoadPlan(system.callerPorts(), pool, mix, rate, duration, KEYS, seed, DEADLINE);
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
    String group = PLAN.groups().get(0);
    boolean replaced =
        system.primaryOf(group).filter(primary -> !primary.equals(killed)).isPresent();
    out.println(
        "failover gap of "
            + group
            + ": "
            + orders.longestWriteGapMillis().getOrDefault(group, -1L)
            + " ms; new primary: "
            + system.primaryOf(group).orElse("none"));
    boolean served = servesAllGroups(listings) && servesAllGroups(orders);
    boolean good = listings.clean() && orders.clean() && replaced && served;
    out.println(good ? "PASSED: no violation" : "FAILED");
    return good;
  }

  /** A system that refuses everything breaks no promise; it must also have done its work. */
  private static boolean servesAllGroups(LoadReport report) {
    return report.longestWriteGapMillis().keySet().containsAll(PLAN.groups());
  }

  private static Path temporaryFolder() {
    try {
      return Files.createTempDirectory("alderyard-demo");
    } catch (IOException none) {
      throw new UncheckedIOException(none);
    }
  }

  private static void delete(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException left) {
      throw new UncheckedIOException(left);
    }
  }
}
