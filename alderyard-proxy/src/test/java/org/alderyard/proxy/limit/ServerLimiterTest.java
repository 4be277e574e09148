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
import org.alderyard.common.time.ManualClock;
import org.alderyard.proxy.pool.PacedConnector;
import org.junit.jupiter.api.Test;

/**
 * Tests which statements a {@link ServerLimiter} starts, queues and refuses, and tests the other
 * limits of this package.
 */
class ServerLimiterTest {
  private static final Flow PACKER = new Flow(new PoolName("ledger"), "packer");
  private static final Flow CRAWLER = new Flow(new PoolName("ledger"), "crawler");
  private static final long SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long FAR_DEADLINE = TimeUnit.SECONDS.toNanos(60);

  private final ServerLimiter<Integer> limiter = new ServerLimiter<>(new FixedLimit(2), 10);
  private int lastId;

  private QueuedStatement<Integer> read(Flow flow, long deadlineNanos) {
    return new QueuedStatement<>(flow, false, deadlineNanos, ++lastId);
  }

  private QueuedStatement<Integer> write(Flow flow) {
    return new QueuedStatement<>(flow, true, FAR_DEADLINE, ++lastId);
  }

  private void recordServiceTimes() {
    for (int i = 0; i < 50; i++) {
      limiter.submit(read(PACKER, FAR_DEADLINE), 0);
      limiter.complete(false, SERVICE_NANOS, true, 0);
    }
  }

  /**
   * A crawler sends a thousand reads before a packer sends one. In a single FIFO queue the read of
   * the packer would wait behind all of them; round-robin order starts it within the next two
   * statements.
   */
  @Test
  void floodOfOneCallerDoesNotStarveAnother() {
    for (int i = 0; i < 1000; i++) {
      limiter.submit(read(CRAWLER, FAR_DEADLINE), 0);
    }
    assertThat(limiter.queued()).isEqualTo(10);
    QueuedStatement<Integer> packerRead = read(PACKER, FAR_DEADLINE);
    AdmissionResult<Integer> result = limiter.submit(packerRead, 0);
    assertThat(result.refused().get(0).reason()).isEqualTo(RefusalReason.DISPLACED);
    assertThat(result.refused().get(0).statement().flow()).isEqualTo(CRAWLER);
    List<QueuedStatement<Integer>> next = new ArrayList<>();
    next.addAll(limiter.complete(false, SERVICE_NANOS, true, 0).started());
    next.addAll(limiter.complete(false, SERVICE_NANOS, true, 0).started());
    assertThat(next).contains(packerRead);
  }

  /**
   * Ten times the capacity of a server arrives. A read that cannot meet its deadline is refused on
   * arrival rather than when the deadline passes, and is never sent to the server.
   */
  @Test
  void readThatWouldMissItsDeadlineIsRefusedOnArrival() {
    recordServiceTimes();
    for (int i = 0; i < 8; i++) {
      limiter.submit(read(PACKER, FAR_DEADLINE), 0);
    }
    AdmissionResult<Integer> refusedRead = limiter.submit(read(PACKER, 2 * SERVICE_NANOS), 0);
    assertThat(refusedRead.refused().get(0).reason()).isEqualTo(RefusalReason.WOULD_MISS_DEADLINE);
    assertThat(refusedRead.refused().get(0).retryAfterMillis()).isAtLeast(20L);
    assertThat(limiter.submit(read(CRAWLER, 4 * SERVICE_NANOS), 0).refused()).isEmpty();
  }

  /**
   * A queued statement that can no longer meet its deadline is refused before the deadline passes,
   * and is never sent.
   */
  @Test
  void queuedReadIsRefusedBeforeItsDeadline() {
    recordServiceTimes();
    for (int i = 0; i < 3; i++) {
      limiter.submit(read(PACKER, 3 * SERVICE_NANOS), 0);
    }
    assertThat(limiter.sweep(SERVICE_NANOS).refused()).isEmpty();
    assertThat(limiter.sweep(2 * SERVICE_NANOS + 1).refused()).hasSize(1);
    assertThat(limiter.complete(false, SERVICE_NANOS, true, 2 * SERVICE_NANOS + 2).started())
        .isEmpty();
  }

  /**
   * Reads move to the primary when all replicas are far behind. One slot of the primary stays free
   * for writes, and a queued write is started before all queued reads.
   */
  @Test
  void readsLeaveCapacityForWritesAtPrimary() {
    limiter.setPrimary(true);
    int initialCapacity = limiter.readCapacity();
    for (int i = 0; i < 4; i++) {
      limiter.submit(read(CRAWLER, FAR_DEADLINE), 0);
    }
    assertThat(limiter.inFlight()).isEqualTo(1);
    assertThat(limiter.readCapacity()).isEqualTo(initialCapacity - 4);
    assertThat(limiter.submit(write(PACKER), 0).started()).hasSize(1);
    limiter.submit(write(PACKER), 0);
    assertThat(limiter.complete(false, SERVICE_NANOS, true, 0).started().get(0).write()).isTrue();
  }

  @Property(seed = "20261202", tries = 200)
  void everyStatementStartsOrIsRefusedOnceWithinTheLimit(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    ServerLimiter<Integer> testedLimiter = new ServerLimiter<>(new AimdLimit(3), 8);
    SplittableRandom random = new SplittableRandom(seed);
    Map<Integer, Integer> endCounts = new HashMap<>();
    List<QueuedStatement<Integer>> running = new ArrayList<>();
    int submitted = 0;
    long now = 0;
    for (int step = 0; step < 400; step++) {
      now += random.nextLong(SERVICE_NANOS);
      AdmissionResult<Integer> result;
      if (random.nextInt(10) < 6) {
        Flow flow = new Flow(new PoolName("p" + random.nextInt(2)), "c" + random.nextInt(3));
        long deadline = now + random.nextLong(20 * SERVICE_NANOS);
        boolean write = random.nextBoolean();
        result =
            testedLimiter.submit(new QueuedStatement<>(flow, write, deadline, ++submitted), now);
      } else if (!running.isEmpty()) {
        QueuedStatement<Integer> ended = running.remove(random.nextInt(running.size()));
        result =
            testedLimiter.complete(
                ended.write(), 1 + random.nextLong(3 * SERVICE_NANOS), random.nextBoolean(), now);
      } else {
        result = testedLimiter.sweep(now);
      }
      running.addAll(result.started());
      result.started().forEach(e -> endCounts.merge(e.work(), 1, Integer::sum));
      result.refused().forEach(r -> endCounts.merge(r.statement().work(), 1, Integer::sum));
      assertThat(testedLimiter.inFlight()).isEqualTo(running.size());
      assertThat(running.size()).isAtMost(3);
      assertThat(testedLimiter.queued()).isAtMost(8);
      assertThat(endCounts.size() + testedLimiter.queued()).isEqualTo(submitted);
    }
    assertThat(endCounts.values().stream().allMatch(count -> count == 1)).isTrue();
  }

  @Test
  void permitEndsOnceAndRefusalIsTyped() {
    ManualClock clock = new ManualClock();
    List<RefusalReason> refusals = new ArrayList<>();
    ServerLimiters limiters =
        new ServerLimiters(
            clock,
            (server, slots) -> new FixedLimit(slots),
            1,
            Runnable::run,
            (s, f, reason) -> refusals.add(reason));
    ServerId server = new ServerId("s1");
    final ServerLimiters.Permit first =
        limiters.acquire(server, 1, false, PACKER, false, FAR_DEADLINE).join();
    final CompletableFuture<ServerLimiters.Permit> second =
        limiters.acquire(server, 1, false, PACKER, false, FAR_DEADLINE);
    CompletableFuture<ServerLimiters.Permit> third =
        limiters.acquire(server, 1, false, PACKER, false, FAR_DEADLINE);
    Throwable failure = assertThrows(CompletionException.class, third::join);
    assertThat(Futures.toAlderyardException(failure).outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refusals).containsExactly(RefusalReason.QUEUE_FULL);
    clock.advance(Duration.ofMillis(10));
    first.end(true);
    first.end(true);
    assertThat(second.isDone()).isTrue();
    assertThat(limiters.inFlight()).isEqualTo(1);
    CompletableFuture<ServerLimiters.Permit> cancelled =
        limiters.acquire(server, 1, false, PACKER, false, FAR_DEADLINE);
    limiters.cancel(server, cancelled);
    second.join().end(true);
    assertThat(limiters.inFlight() + limiters.queued()).isEqualTo(0);
  }

  @Test
  void leaseShareLimitFollowsTheLeaseUpToTheSlots() {
    int[] leasedConnections = {0};
    LeaseShareLimit limit = new LeaseShareLimit(5, () -> leasedConnections[0], () -> 35);
    int sum = 0;
    for (int connections : new int[] {2, 2, 2, 2, 2, 2, 3, 3, 3, 3, 3, 4}) {
      leasedConnections[0] = connections;
      sum += limit.current();
    }
    assertThat(sum).isEqualTo(12);
    leasedConnections[0] = 14;
    assertThat(limit.current()).isEqualTo(4);
    leasedConnections[0] = 31;
    assertThat(limit.current()).isEqualTo(5);
  }

  /**
   * A server restarts after an outage and a thousand statements fail during its cold start.
   * Unlimited resends would double its load; the budget limits them to a tenth of the traffic.
   */
  @Test
  void resendsStayWithinShareOfTraffic() {
    RetryBudget budget =
        new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_MAX_RESENDS);
    int resends = 0;
    for (int i = 0; i < 1000; i++) {
      budget.recordFirstAttempt();
      resends += budget.tryResend() ? 1 : 0;
    }
    assertThat(resends).isAtMost(110);
    assertThat(resends).isAtLeast(100);
  }

  @Test
  void connectionsOpenAtBoundedRate() {
    ConnectionPacer pacer = new ConnectionPacer(() -> 50, 3);
    int opened = 0;
    for (long now = 0; now <= TimeUnit.SECONDS.toNanos(1); now += 1_000_000) {
      while (pacer.tryAcquire(now).isEmpty()) {
        opened++;
      }
    }
    assertThat(opened).isAtLeast(50);
    assertThat(opened).isAtMost(54);
    OptionalLong waitNanos = pacer.tryAcquire(TimeUnit.SECONDS.toNanos(1));
    assertThat(waitNanos.getAsLong()).isAtMost(TimeUnit.MILLISECONDS.toNanos(20));
  }

  @Test
  void proxiesShareTheConnectionRate() {
    // With a fixed rate of five connections per second, meant for one of a dozen proxies, a single
    // proxy refused most statements of its first seconds despite a lease of thirty connections.
    assertThat(PacedConnector.ratePerProxy(1)).isEqualTo(60);
    assertThat(PacedConnector.ratePerProxy(12)).isEqualTo(5);
    assertThat(PacedConnector.ratePerProxy(500)).isEqualTo(1);
    assertThat(PacedConnector.ratePerProxy(0)).isEqualTo(60);
  }
}
