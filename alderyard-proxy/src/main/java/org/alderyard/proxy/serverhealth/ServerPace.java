package org.alderyard.proxy.serverhealth;

import java.util.concurrent.TimeUnit;

/**
 * Bound on the concurrent statements that all hosts together have at a server that has just started
 * or recovered.
 *
 * <p>The bound grows with answers in about the time of the server's peers, and shrinks with late
 * answers, refusals and failures. Once it reaches the server's slots, the server is at full pace.
 * There is no fixed ramp. Each host applies its share of the bound. A share below 1 is a share of
 * the time: the host has one statement at the server for that part of the time.
 */
final class ServerPace {
  private static final double MIN_BOUND = 1;

  /** Part of the slots at first: uncoordinated hosts rarely meet in all slots with it. */
  private static final double INITIAL_SHARE = 1 / 3.0;

  /** The bound doubles with this number of answers in time, over all hosts. */
  private static final double ANSWERS_PER_DOUBLING = 8;

  /**
   * Answers of other hosts that one answer of this host stands for at most while there are no
   * reports. It bounds what a single answer changes.
   */
  private static final double MAX_WEIGHT = 16;

  private static final double LATE_FACTOR = 0.93;
  private static final double REFUSED_FACTOR = 0.5;

  /** The bound is halved for each tenth of the statements that was refused, and at most twice. */
  private static final double HALVINGS_PER_SHARE = 10;

  private static final double MAX_HALVINGS = 2;

  /** Answers up to this multiple of the peers' time, with the tolerance, are in time. */
  private static final double IN_TIME_FACTOR = 1.5;

  /** Difference between two servers that a round trip between zones may make. */
  private static final double IN_TIME_TOLERANCE_MILLIS = 5;

  /** Assumed response time before the first answer, as a multiple of the peers'. */
  private static final double COLD_FACTOR = 3;

  /** Weight of an answer in the smoothed response time; times of single statements vary. */
  private static final double SMOOTHING = 0.3;

  /** Time in which earlier answers lose half of their weight, as a server warms up quickly. */
  private static final double SMOOTHING_HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final double phase;
  private boolean bounded;
  private double bound;
  private long boundedNanos;
  private int inFlight;
  private double credit;
  private long creditNanos;
  private double smoothedMillis;
  private long smoothedNanos;

  /**
   * Creates a pace without a bound.
   *
   * @param phase where in a period this host sends its first statement, from 0 to 1; it differs
   *     between hosts, so that they don't send together
   */
  ServerPace(double phase) {
    this.phase = phase;
  }

  /**
   * Bounds the server's statements to a part of its slots.
   *
   * @param peerMillis mean response time of the group's other servers
   */
  void restrict(FleetSize fleet, double peerMillis, long nowNanos) {
    if (!bounded) {
      boundedNanos = nowNanos;
      smoothedMillis = COLD_FACTOR * peerMillis;
      smoothedNanos = nowNanos;
    }
    bounded = true;
    bound = Math.max(MIN_BOUND, fleet.slots() * INITIAL_SHARE);
    credit = phase;
    creditNanos = nowNanos;
  }

  boolean isBounded() {
    return bounded;
  }

  /** Returns the bound over all hosts. */
  double bound() {
    return bound;
  }

  /** Returns how long the server has been bounded, or was bounded last, until the given time. */
  long boundedForNanos(long nowNanos) {
    return nowNanos - boundedNanos;
  }

  /** Returns whether this host may send another statement within its share of the bound. */
  boolean admits(FleetSize fleet, long nowNanos) {
    if (!bounded) {
      return true;
    }
    double share = bound / fleet.hosts();
    if (share >= 1) {
      return inFlight < (int) share;
    }
    accrue(fleet, nowNanos);
    return inFlight == 0 && credit >= 1;
  }

  void started() {
    inFlight++;
    credit = Math.max(0, credit - 1);
  }

  void ended() {
    inFlight = Math.max(0, inFlight - 1);
  }

  /**
   * Accrues the right to send a statement. All hosts together accrue the bound's statements at any
   * time, however many statements each of them has sent before.
   */
  private void accrue(FleetSize fleet, long nowNanos) {
    double periodMillis = smoothedMillis * fleet.hosts() / bound;
    double passedMillis = (nowNanos - creditNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    credit = Math.min(1, credit + passedMillis / periodMillis);
    creditNanos = nowNanos;
  }

  /**
   * Adjusts the bound after answers, refusals and failures.
   *
   * @param reads answers and refusals of this host, or those that other hosts reported
   * @param standsForFleet whether they stand for those of the hosts that did not report
   */
  void adjust(
      ReadSums reads, boolean standsForFleet, double peerMillis, FleetSize fleet, long nowNanos) {
    if (!bounded) {
      return;
    }
    accrue(fleet, nowNanos);
    double weight = standsForFleet ? Math.min(MAX_WEIGHT, fleet.hosts()) : 1;
    if (reads.answered() > 0) {
      smooth(reads, nowNanos);
      double answers = Math.min(MAX_WEIGHT, reads.answered() * weight);
      bound *=
          smoothedMillis <= lateMillis(peerMillis)
              ? Math.pow(2, answers / ANSWERS_PER_DOUBLING)
              : Math.pow(LATE_FACTOR, answers);
    }
    bound *= Math.pow(REFUSED_FACTOR, halvings(reads));
    bound = Math.max(MIN_BOUND, bound);
    if (bound >= fleet.slots()) {
      bounded = false;
    }
  }

  /** A few refusals among many answers say less than one without an answer. */
  private static double halvings(ReadSums reads) {
    double notServed = reads.refused() + reads.failed();
    if (notServed == 0) {
      return 0;
    }
    double share = notServed / (notServed + reads.answered());
    return Math.min(share * HALVINGS_PER_SHARE, Math.min(notServed, MAX_HALVINGS));
  }

  private void smooth(ReadSums reads, long nowNanos) {
    double keptByTime = Math.pow(0.5, (nowNanos - smoothedNanos) / SMOOTHING_HALF_LIFE_NANOS);
    double kept = keptByTime * Math.pow(1 - SMOOTHING, reads.answered());
    smoothedMillis = kept * smoothedMillis + (1 - kept) * reads.meanMillis();
    smoothedNanos = nowNanos;
  }

  private static double lateMillis(double peerMillis) {
    return IN_TIME_FACTOR * peerMillis + IN_TIME_TOLERANCE_MILLIS;
  }
}
