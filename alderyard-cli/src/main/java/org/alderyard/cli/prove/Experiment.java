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
import org.alderyard.cli.load.WorkloadMix;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.testkit.history.Operation;
import org.alderyard.testkit.history.Operation.Kind;
import org.alderyard.testkit.history.Operation.Result;
import org.alderyard.testkit.history.Violation.Guarantee;

/** Generates load on a system, injects faults one after the other, and counts violations. */
final class Experiment {
  private static final int KEY_COUNT = 150;
  private static final int TRANSACTION_CALLERS = 4;
  private static final Duration REQUEST_DEADLINE = Duration.ofSeconds(6);
  private static final Duration RECOVERY_PAUSE = Duration.ofMillis(1_500);

  private final LocalSystem system;
  private final Duration duration;
  private final int ratePerSecond;
  private final long seed;
  private final Supplier<Fault> nextFault;
  private final Consumer<String> progress;
  private final MonotonicClock clock = MonotonicClock.system();
  private final Map<String, Integer> faultCounts = new TreeMap<>();

  Experiment(
      LocalSystem system,
      Duration duration,
      int ratePerSecond,
      long seed,
      Supplier<Fault> nextFault,
      Consumer<String> progress) {
    this.system = system;
    this.duration = duration;
    this.ratePerSecond = ratePerSecond;
    this.seed = seed;
    this.nextFault = nextFault;
    this.progress = progress;
  }

  PromiseReport run() {
    final CompletableFuture<LoadReport> listings =
        load(LocalSystem.POOLS.get(0), WorkloadMix.BRAZOS, 1);
    final CompletableFuture<LoadReport> orders =
        load(LocalSystem.POOLS.get(1), WorkloadMix.LE_GOFF, 2);
    TransactionLoad transactions = new TransactionLoad(system);
    transactions.start(TRANSACTION_CALLERS);
    FaultContext context = new FaultContext(new SplittableRandom(seed), clock);
    injectFaults(context);
    TransactionLoad.Result transactionResult = transactions.stop();
    return report(List.of(listings.join(), orders.join()), transactionResult, context);
  }

  private CompletableFuture<LoadReport> load(String pool, WorkloadMix mix, int number) {
    LoadPlan plan =
        new LoadPlan(
            system::callerPorts,
            pool,
            mix,
            ratePerSecond,
            duration,
            KEY_COUNT,
            seed * 10 + number,
            REQUEST_DEADLINE);
    return CompletableFuture.supplyAsync(() -> new LoadRun(plan, clock, line -> {}).run());
  }

  private void injectFaults(FaultContext context) {
    long startMillis = clock.nowMillis();
    while (clock.nowMillis() - startMillis < duration.toMillis()) {
      Fault fault = nextFault.get();
      progress.accept(
          String.format("%6.1f s  %s", (clock.nowMillis() - startMillis) / 1e3, fault.name()));
      fault.inject(system, context);
      faultCounts.merge(fault.name(), 1, Integer::sum);
      context.sleep(RECOVERY_PAUSE);
    }
  }

  private PromiseReport report(
      List<LoadReport> loads, TransactionLoad.Result transactions, FaultContext context) {
    List<PromiseRow> rows = new ArrayList<>();
    rows.add(
        toRow(
            loads,
            "a session reads its own writes on any proxy",
            "each read of a session goes through a different proxy than the previous read",
            count(loads, o -> ok(o, Kind.READ) && o.maxStalenessMillis().isEmpty()),
            Guarantee.READ_YOUR_WRITES,
            Guarantee.MONOTONIC_READS));
    rows.add(
        toRow(
            loads,
            "no write is acknowledged by a replaced primary",
            "acknowledged writes are verified after primaries are killed, paused and cut off",
            count(loads, o -> ok(o, Kind.APPEND)),
            Guarantee.NO_WRITE_LOST));
    rows.add(
        new PromiseRow(
            "statements of two transactions never mix",
            "transactions on shared lists, each request through a different proxy",
            transactions.begun(),
            transactions.broken()));
    rows.add(
        toRow(
            loads,
            "each caller gets the whole answer to its own request",
            "responses are lost, delayed, or sent by servers that resume after a pause",
            count(loads, o -> ok(o, Kind.READ)),
            Guarantee.OWN_ANSWER));
    rows.add(
        toRow(
            loads,
            "a request refused as not run did not run",
            "the final lists are searched for the values of refused writes",
            count(loads, o -> o.kind() == Kind.APPEND && o.result() == Result.NOT_RUN),
            Guarantee.NOT_RUN_DID_NOT_RUN));
    rows.add(
        toRow(
            loads,
            "a write that may not be repeated runs at most once",
            "writes are resent through other proxies after lost responses and killed proxies",
            count(loads, o -> o.kind() == Kind.APPEND),
            Guarantee.NO_WRITE_DOUBLED));
    rows.add(
        new PromiseRow(
            "a leaving server gets no new work after 2 s",
            "a replica announces that it leaves, and its statements are counted",
            context.leavingServer.attempts(),
            context.leavingServer.violations()));
    rows.add(
        new PromiseRow(
            "a graceful shutdown cuts no request in flight",
            "callers send requests to a proxy during its shutdown",
            context.gracefulShutdown.attempts(),
            context.gracefulShutdown.violations()));
    rows.add(
        new PromiseRow(
            "an accepted ticket is in force everywhere within 9 s, for good",
            "ticket bursts, conflicting ticket numbers, killed and paused control hosts",
            context.tickets.attempts(),
            context.tickets.violations()));
    rows.add(
        toRow(
            loads,
            "a read that accepts an age gets no older data",
            "replicas apply log entries with a lag",
            count(loads, o -> ok(o, Kind.READ) && o.maxStalenessMillis().isPresent()),
            Guarantee.BOUNDED_STALENESS));
    return new PromiseReport(rows, faultCounts, notes(loads, transactions));
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
      List<LoadReport> loads, java.util.function.Predicate<Operation> predicate) {
    return loads.stream().flatMap(load -> load.operations().stream()).filter(predicate).count();
  }

  private static PromiseRow toRow(
      List<LoadReport> loads,
      String promise,
      String attackDescription,
      long attempts,
      Guarantee... checkedGuarantees) {
    List<Guarantee> guarantees = List.of(checkedGuarantees);
    long violations =
        loads.stream()
            .flatMap(load -> load.violations().stream())
            .filter(violation -> guarantees.contains(violation.guarantee()))
            .count();
    return new PromiseRow(promise, attackDescription, attempts, violations);
  }
}
