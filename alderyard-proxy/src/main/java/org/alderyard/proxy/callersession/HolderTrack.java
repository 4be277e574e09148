package org.alderyard.proxy.callersession;

/**
 * How one start of a holder has answered this host, and how much it may be sent at a time. Not safe
 * for several threads.
 *
 * <p>Guards against holders that work on what nobody waits for any more: all hosts of a fleet start
 * at once, a holder is slow, and what waits before it is older than its callers' patience. What it
 * may be sent grows with each answer and is halved when it gives none, so that the rest is refused
 * at once or goes to another holder.
 */
final class HolderTrack extends AnswerTrack {
  /** Until an answer came; near the work of common statements and a way there and back. */
  private static final double FIRST_LATENCY_MILLIS = 20;

  /** Some callers' statements at once, before anything is known of the holder. */
  private static final double FIRST_WINDOW = 4;

  private static final double MIN_WINDOW = 1;

  /** Beyond this a host would be a holder's only one. */
  private static final double MAX_WINDOW = 64;

  private final long incarnation;
  private double window = FIRST_WINDOW;

  HolderTrack(long incarnation) {
    super(FIRST_LATENCY_MILLIS);
    this.incarnation = incarnation;
  }

  long incarnation() {
    return incarnation;
  }

  /** Returns whether it has as many statements of this host as it may have. */
  boolean full() {
    return inFlight() >= window;
  }

  @Override
  void answered(long nowNanos, long tookNanos, boolean ran) {
    super.answered(nowNanos, tookNanos, ran);
    window = Math.min(MAX_WINDOW, window + 1 / window);
  }

  @Override
  void failed(long nowNanos) {
    super.failed(nowNanos);
    window = Math.max(MIN_WINDOW, window / 2);
  }
}
