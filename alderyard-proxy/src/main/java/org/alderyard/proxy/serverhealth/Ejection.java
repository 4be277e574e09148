package org.alderyard.proxy.serverhealth;

import java.util.concurrent.TimeUnit;

/**
 * Ejection of one server from reads: a time without reads, then single trial statements, whose
 * answers readmit the server or eject it for twice the time.
 */
final class Ejection {
  /** Trial statements that must succeed in a row. */
  static final int TRIALS = 5;

  /** Longer than reports of other hosts are kept, so that trials are judged by new reports. */
  private static final long INITIAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** A server that recovers is found within this time. */
  private static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Time between the trials of two hosts, as each trial may fail. */
  private static final long TRIAL_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final long MAX_TRIAL_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final double phase;
  private boolean ejected;
  private int ejections;
  private long spanNanos;
  private long untilNanos;
  private long trialsFromNanos;
  private long readmittedNanos;
  private int successes;
  private ReadSums reportedTrials = ReadSums.NONE;

  /**
   * Creates a state without an ejection.
   *
   * @param phase where in the spread of trials this host begins, from 0 to 1
   */
  Ejection(double phase) {
    this.phase = phase;
  }

  boolean isEjected() {
    return ejected;
  }

  /** Returns whether the time without reads is over, so that a trial may be sent. */
  boolean isTrialDue(long nowNanos) {
    return ejected && nowNanos - trialsFromNanos >= 0;
  }

  /** Returns whether the least time without reads is over, so that reports of others count. */
  boolean isServed(long nowNanos) {
    return ejected && nowNanos - untilNanos >= 0;
  }

  /** Returns the time without reads, in nanoseconds. */
  long spanNanos() {
    return spanNanos;
  }

  /** Starts an ejection, or extends one after a failed trial. */
  void eject(int hosts, long nowNanos) {
    if (!ejected && nowNanos - readmittedNanos > MAX_NANOS) {
      ejections = 0;
    }
    spanNanos = Math.min(MAX_NANOS, INITIAL_NANOS << Math.min(ejections, 4));
    ejections++;
    ejected = true;
    successes = 0;
    reportedTrials = ReadSums.NONE;
    untilNanos = nowNanos + spanNanos;
    long spreadNanos = Math.min(MAX_TRIAL_SPREAD_NANOS, (hosts - 1) * TRIAL_SPREAD_NANOS);
    trialsFromNanos = untilNanos + (long) (phase * spreadNanos);
  }

  /** Adds trials of other hosts; returns all that were reported since this ejection. */
  ReadSums addReported(ReadSums sums) {
    reportedTrials = reportedTrials.plus(sums);
    return reportedTrials;
  }

  /** Records a successful trial; returns whether the server is readmitted by it. */
  boolean trialSucceeded(long nowNanos) {
    successes++;
    if (successes < TRIALS) {
      return false;
    }
    readmit(nowNanos);
    return true;
  }

  void readmit(long nowNanos) {
    ejected = false;
    readmittedNanos = nowNanos;
  }
}
