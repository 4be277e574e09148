package org.alderyard.cli.prove;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import org.alderyard.common.time.MonotonicClock;

/** Random choices, pauses and check counts that fault injections share. */
final class FaultContext {
  private final RandomGenerator random;
  private final MonotonicClock clock;
  final CheckCounter leavingServer;
  final CheckCounter gracefulShutdown;
  final CheckCounter tickets;

  FaultContext(RandomGenerator random, MonotonicClock clock) {
    this(random, clock, new CheckCounter(), new CheckCounter(), new CheckCounter());
  }

  private FaultContext(
      RandomGenerator random,
      MonotonicClock clock,
      CheckCounter leavingServer,
      CheckCounter gracefulShutdown,
      CheckCounter tickets) {
    this.random = random;
    this.clock = clock;
    this.leavingServer = leavingServer;
    this.gracefulShutdown = gracefulShutdown;
    this.tickets = tickets;
  }

  /**
   * Returns a context with a separate random generator and shared counts, for concurrent faults.
   */
  FaultContext withRandom(RandomGenerator otherRandom) {
    return new FaultContext(otherRandom, clock, leavingServer, gracefulShutdown, tickets);
  }

  <T> T choose(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }

  int nextInt(int bound) {
    return random.nextInt(bound);
  }

  long nowMillis() {
    return clock.nowMillis();
  }

  void sleep(Duration duration) {
    LockSupport.parkNanos(duration.toNanos());
  }

  /** Counts of the attempts and violations of one promise; thread-safe. */
  static final class CheckCounter {
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger violations = new AtomicInteger();

    void record(boolean passed) {
      attempts.incrementAndGet();
      if (!passed) {
        violations.incrementAndGet();
      }
    }

    int attempts() {
      return attempts.get();
    }

    int violations() {
      return violations.get();
    }
  }
}
