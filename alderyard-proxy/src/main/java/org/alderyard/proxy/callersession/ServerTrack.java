package org.alderyard.proxy.callersession;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;

/** What one start of one server has shown this host. Not safe for several threads. */
final class ServerTrack extends AnswerTrack {
  /** Until an answer came; near the work of common statements, so that no server looks best. */
  private static final double FIRST_LATENCY_MILLIS = 15;

  /** The lag that a replica is believed to have before anything is known of it. */
  private static final double FIRST_LAG_MILLIS = 100;

  private static final double LAG_GROWTH = 1.5;
  private static final double LAG_DECAY = 0.97;
  private static final long MAX_LAG_MILLIS = 10_000;

  private final long incarnation;
  private double lagMillis = FIRST_LAG_MILLIS;
  private Position position = Position.NONE;
  private boolean gone;
  private final ServerRefusals refusals = new ServerRefusals();

  ServerTrack(long incarnation) {
    super(FIRST_LATENCY_MILLIS);
    this.incarnation = incarnation;
  }

  long incarnation() {
    return incarnation;
  }

  @Override
  void answered(long nowNanos, long tookNanos, boolean ran) {
    super.answered(nowNanos, tookNanos, ran);
    if (ran) {
      refusals.tookWork();
    }
  }

  /** Another server listens at its address. */
  void replaced() {
    gone = true;
  }

  boolean gone() {
    return gone;
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
    return !answeredEver() || position.compareTo(wanted) >= 0 || ageNanos >= lagNanos();
  }
}
