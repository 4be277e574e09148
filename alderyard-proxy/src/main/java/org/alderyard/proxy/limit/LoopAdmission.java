package org.alderyard.proxy.limit;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Admits requests to a thread that serves connections in rounds, as long as its round is short.
 *
 * <p>Guards against a host that collapses while it is cold: each request costs many times its usual
 * processor time, hundreds wait at the thread, and what keeps the host in the cluster
 * (announcements of servers, its own probes) waits behind them until leases run out. A round
 * accepts what it can begin in a bounded time and refuses the rest, which costs next to nothing, so
 * the next round comes soon.
 *
 * <p>The thread itself calls both methods; not safe for several threads.
 */
public final class LoopAdmission {
  /**
   * The longest work of one round that is accepted: half of the smallest objective, 100 ms, and far
   * less than the second for which an announcement may be on its way.
   */
  private static final long MAX_ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final Runnable askForEnd;
  private boolean inRound;
  private long startNanos;

  /**
   * Creates the admission of one thread.
   *
   * @param askForEnd makes the thread call {@link #roundEnded()} after what is ready now
   */
  public LoopAdmission(Runnable askForEnd) {
    this.askForEnd = Objects.requireNonNull(askForEnd);
  }

  /** The round is over: what is ready from now on belongs to the next one. */
  public void roundEnded() {
    inRound = false;
  }

  /** Returns whether a request may begin in this round. */
  public boolean admits(long nowNanos) {
    if (!inRound) {
      inRound = true;
      startNanos = nowNanos;
      askForEnd.run();
    }
    return nowNanos - startNanos <= MAX_ROUND_NANOS;
  }
}
