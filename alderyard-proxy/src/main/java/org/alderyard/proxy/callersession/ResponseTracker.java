package org.alderyard.proxy.callersession;

import java.util.concurrent.TimeUnit;

/** Recent response times and failures of a backend server or another host. Not thread-safe. */
class ResponseTracker {
  /** Weight of a new latency in the moving average; about the last ten responses count. */
  private static final double LATENCY_WEIGHT = 0.1;

  /** Initial backoff after a failure; each further failure doubles it. */
  private static final long INITIAL_BACKOFF_MILLIS = 200;

  private static final long MAX_BACKOFF_MILLIS = 1_600;

  private int inFlight;
  private double latencyMillis;
  private int failures;
  private long firstFailureNanos;
  private long backoffUntilNanos;
  private boolean backingOff;
  private long lastAnswerNanos;
  private boolean answered;

  /**
   * Creates a tracker without observations.
   *
   * @param initialLatencyMillis the assumed latency until the first response
   */
  ResponseTracker(double initialLatencyMillis) {
    this.latencyMillis = initialLatencyMillis;
  }

  void started() {
    inFlight++;
  }

  /**
   * Records a response.
   *
   * @param ran whether the response time reflects the processing speed of the peer
   */
  void answered(long nowNanos, long tookNanos, boolean ran) {
    failures = 0;
    backingOff = false;
    answered = true;
    lastAnswerNanos = nowNanos;
    if (ran) {
      double millis = tookNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
      latencyMillis += LATENCY_WEIGHT * (millis - latencyMillis);
    }
  }

  void ended() {
    inFlight--;
  }

  /** Records that a connection could not be opened, broke, or timed out. */
  void failed(long nowNanos) {
    if (failures == 0) {
      firstFailureNanos = nowNanos;
    }
    if (backingOff && nowNanos - backoffUntilNanos < 0) {
      failures = Math.max(1, failures);
      return;
    }
    long backoffMillis =
        Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(failures, 4));
    failures++;
    backingOff = true;
    backoffUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(backoffMillis);
  }

  /**
   * Records a lost response without starting a backoff. Only a probe that takes no slot can show
   * whether the server is available.
   */
  void responseLost(long nowNanos) {
    if (failures == 0) {
      firstFailureNanos = nowNanos;
      failures = 1;
    }
  }

  /** Returns how long requests have gone unanswered, or 0 if the last one was answered. */
  long unresponsiveNanos(long nowNanos) {
    return failures == 0 ? 0 : nowNanos - (answered ? lastAnswerNanos : firstFailureNanos);
  }

  boolean inBackoff(long nowNanos) {
    return backingOff && nowNanos - backoffUntilNanos < 0;
  }

  /** Returns how long the current backoff lasts; 0 if there is none. */
  long backoffRemainingNanos(long nowNanos) {
    return inBackoff(nowNanos) ? backoffUntilNanos - nowNanos : 0;
  }

  boolean isFailing() {
    return failures > 0;
  }

  /** Returns whether the peer has responded at least once. */
  boolean hasAnswered() {
    return answered;
  }

  int inFlight() {
    return inFlight;
  }

  /** Returns the expected duration of a statement, given the requests in flight. */
  double expectedMillis() {
    return latencyMillis * (1 + inFlight);
  }

  double latencyMillis() {
    return latencyMillis;
  }

  /** Replaces the latency of earlier responses, which no longer tell of the peer. */
  void resetLatency(double millis) {
    latencyMillis = millis;
  }

  boolean answeredWithin(long nowNanos, long nanos) {
    return answered && nowNanos - lastAnswerNanos <= nanos;
  }
}
