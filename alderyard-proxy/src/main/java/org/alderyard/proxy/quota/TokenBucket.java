package org.alderyard.proxy.quota;

import java.util.concurrent.TimeUnit;

/** A bucket of tokens that refills at a constant rate up to its capacity. Not thread-safe. */
final class TokenBucket {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Compensates rounding, so that a token is available at the time that was promised for it. */
  private static final double EPSILON = 1e-6;

  private double ratePerSecond;
  private double capacity;
  private double tokens;
  private long updatedNanos;

  TokenBucket(double ratePerSecond, double capacity, double tokens, long nowNanos) {
    this.ratePerSecond = ratePerSecond;
    this.capacity = capacity;
    this.tokens = Math.min(capacity, tokens);
    this.updatedNanos = nowNanos;
  }

  /** Changes the limit; tokens beyond the new capacity are lost. */
  void setLimit(double newRatePerSecond, double newCapacity, long nowNanos) {
    refill(nowNanos);
    ratePerSecond = newRatePerSecond;
    capacity = newCapacity;
    tokens = Math.min(tokens, capacity);
  }

  private void refill(long nowNanos) {
    long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
    tokens = Math.min(capacity, tokens + elapsedNanos / NANOS_PER_SECOND * ratePerSecond);
    updatedNanos = Math.max(updatedNanos, nowNanos);
  }

  /** Takes up to the wanted number of tokens; returns how many. */
  int take(int wanted, long nowNanos) {
    refill(nowNanos);
    int taken = (int) Math.max(0, Math.min(wanted, Math.floor(tokens + EPSILON)));
    tokens -= taken;
    return taken;
  }

  /** Takes tokens that have been used already; the bucket may owe some afterwards. */
  void takeUsed(int used, long nowNanos) {
    refill(nowNanos);
    tokens -= used;
  }

  /** Returns the tokens after the last call; negative if some are owed. */
  double tokens() {
    return tokens;
  }

  /** Returns the milliseconds until a token is available, at least 1; the maximum if never. */
  int millisUntilToken(int maxMillis) {
    double missing = 1 - tokens;
    if (ratePerSecond <= 0 || missing / ratePerSecond * 1_000 >= maxMillis) {
      return maxMillis;
    }
    return Math.max(1, (int) Math.ceil(missing / ratePerSecond * 1_000));
  }
}
