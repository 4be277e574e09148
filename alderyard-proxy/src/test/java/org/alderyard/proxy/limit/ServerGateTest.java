package org.alderyard.proxy.limit;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.PausedClock;
import org.alderyard.proxy.pool.PacedConnector;
import org.junit.jupiter.api.Test;

/** What a gate starts, keeps waiting and refuses. */
class ServerGateTest {
  private static final Flow PACKER = new Flow(new PoolName("ledger"), "packer");
  private static final Flow CRAWLER = new Flow(new PoolName("ledger"), "crawler");
  private static final long SERVICE = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long FAR = TimeUnit.SECONDS.toNanos(60);

  private final ServerGate<Integer> gate = new ServerGate<>(new FixedLimit(2), 10);
  private int number;

  private Entrant<Integer> read(Flow flow, long deadlineNanos) {
    return new Entrant<>(flow, false, deadlineNanos, ++number);
  }

  private Entrant<Integer> write(Flow flow) {
    return new Entrant<>(flow, true, FAR, ++number);
  }

  private void learnService() {
    for (int i = 0; i < 50; i++) {
      gate.enter(read(PACKER, FAR), 0);
      gate.leave(false, SERVICE, true, 0);
    }
  }

  /**
   * A crawler sends a thousand reads, then a packer sends one. In one line the packer's read would
   * stand behind all of them; the turn of callers gives it the next slot but one.
   */
  @Test
  void floodOfOneCallerDoesNotStarveAnother() {
    for (int i = 0; i < 1000; i++) {
      gate.enter(read(CRAWLER, FAR), 0);
    }
    assertThat(gate.queued()).isEqualTo(10);
    Entrant<Integer> packers = read(PACKER, FAR);
    GateChange<Integer> change = gate.enter(packers, 0);
    assertThat(change.refused().get(0).reason()).isEqualTo(RefusalReason.DISPLACED);
    assertThat(change.refused().get(0).entrant().flow()).isEqualTo(CRAWLER);
    List<Entrant<Integer>> next = new ArrayList<>();
    next.addAll(gate.leave(false, SERVICE, true, 0).started());
    next.addAll(gate.leave(false, SERVICE, true, 0).started());
    assertThat(next).contains(packers);
  }

  /**
   * Ten times what a server can do arrives. The caller of a read that cannot make its deadline
   * hears so at once, not when the deadline is over, and the server never sees it.
   */
  @Test
  void hopelessReadIsRefusedWhenItComes() {
    learnService();
    for (int i = 0; i < 8; i++) {
      gate.enter(read(PACKER, FAR), 0);
    }
    GateChange<Integer> hopeless = gate.enter(read(PACKER, 2 * SERVICE), 0);
    assertThat(hopeless.refused().get(0).reason()).isEqualTo(RefusalReason.WOULD_MISS_DEADLINE);
    assertThat(hopeless.refused().get(0).retryAfterMillis()).isAtLeast(20L);
    assertThat(gate.enter(read(CRAWLER, 4 * SERVICE), 0).refused()).isEmpty();
  }

  /** A statement that waits is refused while its caller still listens, and is never sent. */
  @Test
  void waitingReadIsRefusedBeforeItsDeadline() {
    learnService();
    for (int i = 0; i < 3; i++) {
      gate.enter(read(PACKER, 3 * SERVICE), 0);
    }
    assertThat(gate.sweep(SERVICE).refused()).isEmpty();
    assertThat(gate.sweep(2 * SERVICE + 1).refused()).hasSize(1);
    assertThat(gate.leave(false, SERVICE, true, 2 * SERVICE + 2).started()).isEmpty();
  }

  /**
   * Every replica is far behind and reads pour onto the primary. One of its slots stays free for
   * writes, and a write that waits goes before all reads that wait.
   */
  @Test
  void readsLeaveRoomForWritesAtPrimary() {
    gate.primary(true);
    int room = gate.readRoom();
    for (int i = 0; i < 4; i++) {
      gate.enter(read(CRAWLER, FAR), 0);
    }
    assertThat(gate.inFlight()).isEqualTo(1);
    assertThat(gate.readRoom()).isEqualTo(room - 4);
    assertThat(gate.enter(write(PACKER), 0).started()).hasSize(1);
    gate.enter(write(PACKER), 0);
    assertThat(gate.leave(false, SERVICE, true, 0).started().get(0).write()).isTrue();
  }

  @Property(seed = "20261202", tries = 200)
  void everyStatementStartsOrIsRefusedOnceWithinTheLimit(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    ServerGate<Integer> tested = new ServerGate<>(new AimdLimit(3), 8);
    SplittableRandom random = new SplittableRandom(seed);
    Map<Integer, Integer> ends = new HashMap<>();
    List<Entrant<Integer>> running = new ArrayList<>();
    int entered = 0;
    long now = 0;
    for (int step = 0; step < 400; step++) {
      now += random.nextLong(SERVICE);
      GateChange<Integer> change;
      if (random.nextInt(10) < 6) {
        Flow flow = new Flow(new PoolName("p" + random.nextInt(2)), "c" + random.nextInt(3));
        long deadline = now + random.nextLong(20 * SERVICE);
        boolean write = random.nextBoolean();
        change = tested.enter(new Entrant<>(flow, write, deadline, ++entered), now);
      } else if (!running.isEmpty()) {
        Entrant<Integer> ended = running.remove(random.nextInt(running.size()));
        change =
            tested.leave(
                ended.write(), 1 + random.nextLong(3 * SERVICE), random.nextBoolean(), now);
      } else {
        change = tested.sweep(now);
      }
      running.addAll(change.started());
      change.started().forEach(e -> ends.merge(e.work(), 1, Integer::sum));
      change.refused().forEach(r -> ends.merge(r.entrant().work(), 1, Integer::sum));
      assertThat(tested.inFlight()).isEqualTo(running.size());
      assertThat(running.size()).isAtMost(3);
      assertThat(tested.queued()).isAtMost(8);
      assertThat(ends.size() + tested.queued()).isEqualTo(entered);
    }
    assertThat(ends.values().stream().allMatch(count -> count == 1)).isTrue();
  }

  @Test
  void permitIsGivenBackOnceAndRefusalIsTyped() {
    PausedClock clock = new PausedClock();
    List<RefusalReason> refusals = new ArrayList<>();
    Gates gates =
        new Gates(
            clock,
            (server, slots) -> new FixedLimit(slots),
            1,
            Runnable::run,
            (s, f, reason) -> refusals.add(reason));
    ServerId server = new ServerId("s1");
    final Gates.Permit first = gates.enter(server, 1, false, PACKER, false, FAR).join();
    final CompletableFuture<Gates.Permit> second =
        gates.enter(server, 1, false, PACKER, false, FAR);
    CompletableFuture<Gates.Permit> third = gates.enter(server, 1, false, PACKER, false, FAR);
    Throwable failure = assertThrows(CompletionException.class, third::join);
    assertThat(Futures.typed(failure).outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refusals).containsExactly(RefusalReason.QUEUE_FULL);
    clock.advance(Duration.ofMillis(10));
    first.end(true);
    first.end(true);
    assertThat(second.isDone()).isTrue();
    assertThat(gates.inFlight()).isEqualTo(1);
    CompletableFuture<Gates.Permit> gone = gates.enter(server, 1, false, PACKER, false, FAR);
    gates.cancel(server, gone);
    second.join().end(true);
    assertThat(gates.inFlight() + gates.queued()).isEqualTo(0);
  }

  @Test
  void leasedSlotsFollowTheLeaseWithinTheSlots() {
    int[] leased = {0};
    LeasedSlots limit = new LeasedSlots(5, () -> leased[0], () -> 35);
    int sum = 0;
    for (int connections : new int[] {2, 2, 2, 2, 2, 2, 3, 3, 3, 3, 3, 4}) {
      leased[0] = connections;
      sum += limit.current();
    }
    assertThat(sum).isEqualTo(12);
    leased[0] = 14;
    assertThat(limit.current()).isEqualTo(4);
    leased[0] = 31;
    assertThat(limit.current()).isEqualTo(5);
  }

  /**
   * A server comes back after an outage and a thousand statements fail on its cold start. Resent
   * without a budget they would double its load; the budget lets a tenth of the traffic through.
   */
  @Test
  void resendsStayShareOfTheTraffic() {
    RetryBudget budget = new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_SAVED);
    int resends = 0;
    for (int i = 0; i < 1000; i++) {
      budget.firstTry();
      resends += budget.tryResend() ? 1 : 0;
    }
    assertThat(resends).isAtMost(110);
    assertThat(resends).isAtLeast(100);
  }

  @Test
  void connectionsOpenAtBoundedPace() {
    ConnectionPacer pacer = new ConnectionPacer(() -> 50, 3);
    int opened = 0;
    for (long now = 0; now <= TimeUnit.SECONDS.toNanos(1); now += 1_000_000) {
      while (pacer.tryOpen(now).isEmpty()) {
        opened++;
      }
    }
    assertThat(opened).isAtLeast(50);
    assertThat(opened).isAtMost(54);
    OptionalLong wait = pacer.tryOpen(TimeUnit.SECONDS.toNanos(1));
    assertThat(wait.getAsLong()).isAtMost(TimeUnit.MILLISECONDS.toNanos(20));
  }

  @Test
  void proxiesShareThePaceOfOpenings() {
    // A proxy that was alone opened five connections a second, as one of a dozen may, and refused
    // most of its first seconds' statements with a lease of thirty connections in its hands.
    assertThat(PacedConnector.share(1)).isEqualTo(60);
    assertThat(PacedConnector.share(12)).isEqualTo(5);
    assertThat(PacedConnector.share(500)).isEqualTo(1);
    assertThat(PacedConnector.share(0)).isEqualTo(60);
  }
}
