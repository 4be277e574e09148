package org.alderyard.cli.prove;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import org.alderyard.common.time.MonotonicClock;

/** What faults share: chance, pauses, and the counts of what they checked on their own. */
final class FaultContext {
  private final RandomGenerator random;
  private final MonotonicClock clock;
  final Tally leavingServer;
  final Tally gracefulShutdown;
  final Tally tickets;

  FaultContext(RandomGenerator random, MonotonicClock clock) {
    this(random, clock, new Tally(), new Tally(), new Tally());
  }

  private FaultContext(
      RandomGenerator random,
      MonotonicClock clock,
      Tally leavingServer,
      Tally gracefulShutdown,
      Tally tickets) {
    this.random = random;
    this.clock = clock;
    this.leavingServer = leavingServer;
    this.gracefulShutdown = gracefulShutdown;
    this.tickets = tickets;
  }

  /** Returns a context with a chance of its own, for a fault that comes beside another one. */
  FaultContext beside(RandomGenerator ownRandom) {
    return new FaultContext(ownRandom, clock, leavingServer, gracefulShutdown, tickets);
  }

  <T> T oneOf(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }

  int number(int bound) {
    return random.nextInt(bound);
  }

  long nowMillis() {
    return clock.nowMillis();
  }

  void last(Duration duration) {
    LockSupport.parkNanos(duration.toNanos());
  }

  /** Attempts and violations of one promise. */
  static final class Tally {
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger violations = new AtomicInteger();

    void record(boolean kept) {
      attempts.incrementAndGet();
      if (!kept) {
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
