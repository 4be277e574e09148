package org.alderyard.cli.prove;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.alderyard.cli.load.LoadPlan;
import org.alderyard.cli.load.LoadReport;
import org.alderyard.cli.load.LoadRun;
import org.alderyard.cli.load.Mix;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.testkit.history.Operation;
import org.alderyard.testkit.history.Operation.Kind;
import org.alderyard.testkit.history.Operation.Result;
import org.alderyard.testkit.history.Violation.Promise;

/** Puts load on a system while faults strike it, and counts the broken promises. */
final class Experiment {
  private static final int KEYS = 150;
  private static final int TRANSACTION_CALLERS = 4;
  private static final Duration DEADLINE = Duration.ofSeconds(6);
  private static final Duration SETTLE = Duration.ofMillis(1_500);

  private final LocalSystem system;
  private final Duration duration;
  private final int ratePerSecond;
  private final long seed;
  private final Supplier<Fault> schedule;
  private final Consumer<String> progress;
  private final MonotonicClock clock = MonotonicClock.system();
  private final Map<String, Integer> faults = new TreeMap<>();

  Experiment(
      LocalSystem system,
      Duration duration,
      int ratePerSecond,
      long seed,
      Supplier<Fault> schedule,
      Consumer<String> progress) {
    this.system = system;
    this.duration = duration;
    this.ratePerSecond = ratePerSecond;
    this.seed = seed;
    this.schedule = schedule;
    this.progress = progress;
  }

  PromiseReport run() {
    final CompletableFuture<LoadReport> listings = load(LocalSystem.POOLS.get(0), Mix.BRAZOS, 1);
    final CompletableFuture<LoadReport> orders = load(LocalSystem.POOLS.get(1), Mix.LE_GOFF, 2);
    TransactionLoad transactions = new TransactionLoad(system);
    transactions.start(TRANSACTION_CALLERS);
    FaultContext context = new FaultContext(new SplittableRandom(seed), clock);
    injectFaults(context);
    TransactionLoad.Result transactionResult = transactions.stop();
    return report(List.of(listings.join(), orders.join()), transactionResult, context);
  }

  private CompletableFuture<LoadReport> load(String pool, Mix mix, int number) {
    LoadPlan plan =
        new LoadPlan(
            system.callerPorts(),
            pool,
            mix,
            ratePerSecond,
            duration,
            KEYS,
            seed * 10 + number,
            DEADLINE);
    return CompletableFuture.supplyAsync(() -> new LoadRun(plan, clock, line -> {}).run());
  }

  private void injectFaults(FaultContext context) {
    long startMillis = clock.nowMillis();
    while (clock.nowMillis() - startMillis < duration.toMillis()) {
      Fault fault = schedule.get();
      progress.accept(
          String.format("%6.1f s  %s", (clock.nowMillis() - startMillis) / 1e3, fault.name()));
      fault.inject(system, context);
      faults.merge(fault.name(), 1, Integer::sum);
      context.last(SETTLE);
    }
  }

  private PromiseReport report(
      List<LoadReport> loads, TransactionLoad.Result transactions, FaultContext context) {
    List<PromiseRow> rows = new ArrayList<>();
    rows.add(
        row(
            loads,
            "a session reads its own writes on any proxy",
            "every read of a session goes through another proxy than the one before",
            count(loads, o -> ok(o, Kind.READ) && o.maxStalenessMillis().isEmpty()),
            Promise.READ_YOUR_WRITES,
            Promise.MONOTONIC_READS));
    rows.add(
        row(
            loads,
            "no write is acknowledged by a replaced primary",
            "acknowledged writes are looked for after kills, pauses and cuts of primaries",
            count(loads, o -> ok(o, Kind.APPEND)),
            Promise.NO_WRITE_LOST));
    rows.add(
        new PromiseRow(
            "statements of two transactions never mix",
            "transactions on shared lists, each request through another proxy",
            transactions.begun(),
            transactions.broken()));
    rows.add(
        row(
            loads,
            "each caller gets the whole answer to its own request",
            "answers are lost, late, and come from servers that wake up",
            count(loads, o -> ok(o, Kind.READ)),
            Promise.OWN_ANSWER));
    rows.add(
        row(
            loads,
            "a request refused as not run did not run",
            "the values of refused writes are looked for",
            count(loads, o -> o.kind() == Kind.APPEND && o.result() == Result.NOT_RUN),
            Promise.NOT_RUN_DID_NOT_RUN));
    rows.add(
        row(
            loads,
            "a write that may not be repeated runs at most once",
            "writes are sent again through other proxies after lost answers and dead proxies",
            count(loads, o -> o.kind() == Kind.APPEND),
            Promise.NO_WRITE_DOUBLED));
    rows.add(
        new PromiseRow(
            "a leaving server gets no new work after 2 s",
            "a replica announces that it leaves, its statements are counted",
            context.leavingServer.attempts(),
            context.leavingServer.violations()));
    rows.add(
        new PromiseRow(
            "a graceful shutdown cuts no request in flight",
            "callers send to a proxy while it is asked to end",
            context.gracefulShutdown.attempts(),
            context.gracefulShutdown.violations()));
    rows.add(
        new PromiseRow(
            "an accepted ticket is in force everywhere within 9 s, for good",
            "storms, two operators with one number, dead and paused control hosts",
            context.tickets.attempts(),
            context.tickets.violations()));
    rows.add(
        row(
            loads,
            "a read that accepts an age gets no older data",
            "replicas lag",
            count(loads, o -> ok(o, Kind.READ) && o.maxStalenessMillis().isPresent()),
            Promise.BOUNDED_STALENESS));
    return new PromiseReport(rows, faults, notes(loads, transactions));
  }

  private static List<String> notes(List<LoadReport> loads, TransactionLoad.Result transactions) {
    List<String> notes = new ArrayList<>();
    int unread = loads.stream().mapToInt(LoadReport::unreadKeys).sum() + transactions.unreadKeys();
    if (unread > 0) {
      notes.add("UNCHECKED: " + unread + " keys could not be read at the end");
    }
    return notes;
  }

  private static boolean ok(Operation operation, Kind kind) {
    return operation.kind() == kind && operation.result() == Result.OK;
  }

  private static long count(
      List<LoadReport> loads, java.util.function.Predicate<Operation> counted) {
    return loads.stream().flatMap(load -> load.operations().stream()).filter(counted).count();
  }

  private static PromiseRow row(
      List<LoadReport> loads, String promise, String attack, long attempts, Promise... checked) {
    List<Promise> promises = List.of(checked);
    long violations =
        loads.stream()
            .flatMap(load -> load.violations().stream())
            .filter(violation -> promises.contains(violation.promise()))
            .count();
    return new PromiseRow(promise, attack, attempts, violations);
  }
}
