package org.alderyard.proxy.callersession;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;

/** What one start of one server has shown this host. Not safe for several threads. */
final class ServerTrack {
  /** The weight of a new latency in the average: about the last ten answers count. */
  private static final double LATENCY_WEIGHT = 0.1;

  /** Until an answer came; near the work of common statements, so that no server looks best. */
  private static final double FIRST_LATENCY_MILLIS = 15;

  /** The lag that a replica is believed to have before anything is known of it. */
  private static final double FIRST_LAG_MILLIS = 100;

  private static final double LAG_GROWTH = 1.5;
  private static final double LAG_DECAY = 0.97;
  private static final long MAX_LAG_MILLIS = 10_000;

  /** A server that failed is left alone this long at first, and twice as long each time. */
  private static final long FIRST_PAUSE_MILLIS = 200;

  private static final long MAX_PAUSE_MILLIS = 1_600;

  private final long incarnation;
  private int inFlight;
  private double latencyMillis = FIRST_LATENCY_MILLIS;
  private double lagMillis = FIRST_LAG_MILLIS;
  private Position position = Position.NONE;
  private int failures;
  private long firstFailureNanos;
  private long pausedUntilNanos;
  private boolean paused;
  private long lastAnswerNanos;
  private boolean answered;
  private boolean gone;
  private final ServerRefusals refusals = new ServerRefusals();

  ServerTrack(long incarnation) {
    this.incarnation = incarnation;
  }

  long incarnation() {
    return incarnation;
  }

  void started() {
    inFlight++;
  }

  void answered(long nowNanos, long tookNanos, boolean ran) {
    failures = 0;
    paused = false;
    answered = true;
    lastAnswerNanos = nowNanos;
    if (ran) {
      refusals.tookWork();
      double millis = tookNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
      latencyMillis += LATENCY_WEIGHT * (millis - latencyMillis);
    }
  }

  void ended() {
    inFlight--;
  }

  /** A connection could not be opened, broke, or gave no answer in time. */
  void failed(long nowNanos) {
    if (failures == 0) {
      firstFailureNanos = nowNanos;
    }
    if (paused && nowNanos - pausedUntilNanos < 0) {
      failures = Math.max(1, failures);
      return;
    }
    long pauseMillis = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, 4));
    failures++;
    paused = true;
    pausedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
  }

  /** An answer was lost; only a question that takes no slot tells whether the server is. */
  void doubted(long nowNanos) {
    if (failures == 0) {
      firstFailureNanos = nowNanos;
      failures = 1;
    }
  }

  /** Another server listens at its address. */
  void replaced() {
    gone = true;
  }

  boolean gone() {
    return gone;
  }

  /** Returns for how long no answer came although some were waited for; 0 if the last one came. */
  long silentNanos(long nowNanos) {
    return failures == 0 ? 0 : nowNanos - (answered ? lastAnswerNanos : firstFailureNanos);
  }

  boolean paused(long nowNanos) {
    return paused && nowNanos - pausedUntilNanos < 0;
  }

  boolean failing() {
    return failures > 0;
  }

  void shows(Position shown) {
    if (shown.compareTo(position) > 0) {
      position = shown;
    }
    refusals.shows(shown);
    lagMillis *= LAG_DECAY;
  }

  /** It lacked a position that the primary had. */
  void lacked(GroupRouting.Floor floor, long nowNanos) {
    double millis = (nowNanos - floor.sinceNanos()) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    lagMillis = Math.min(MAX_LAG_MILLIS, Math.max(lagMillis, millis) * LAG_GROWTH);
    refusals.lacked(floor.position(), nowNanos, floor.sinceNanos() + lagNanos());
  }

  private long lagNanos() {
    return (long) (lagMillis * TimeUnit.MILLISECONDS.toNanos(1));
  }

  /** Returns what it refused of late. */
  ServerRefusals refusals() {
    return refusals;
  }

  /**
   * Returns whether it is expected to hold a position of this age.
   *
   * <p>One that has not answered yet is asked: a refusal costs one way there and back, while all
   * reads of a host that has just started would turn to the primary otherwise.
   */
  boolean likelyHolds(Position wanted, long ageNanos) {
    return !answered || position.compareTo(wanted) >= 0 || ageNanos >= lagNanos();
  }

  /** Returns how long a statement is expected to take here. */
  double expectedMillis() {
    return latencyMillis * (1 + inFlight);
  }

  double latencyMillis() {
    return latencyMillis;
  }

  boolean answeredWithin(long nowNanos, long nanos) {
    return answered && nowNanos - lastAnswerNanos <= nanos;
  }
}
