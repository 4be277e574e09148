package org.alderyard.proxy.callersession;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;

/**
 * What one server refused, and from when on it may be asked for the same again. Pure; not safe for
 * several threads.
 *
 * <p>Guards against a host whose statements each learn for themselves what the server has just told
 * another one: they went round after round, and a server with two slots answered little else than
 * refusals. After a refusal one statement at a time asks again, and the others wait for what it
 * learns.
 */
final class ServerRefusals {
  /** The first pause after a server had no slot; slots turn over in some milliseconds. */
  private static final long FIRST_BUSY_MILLIS = 4;

  private static final long MAX_BUSY_MILLIS = 64;

  /** A replica applies in batches, so that it is not worth while to ask sooner. */
  private static final long MIN_LACKS_MILLIS = 10;

  /** The estimate of a replica's lag may be far too long, and then this bounds the loss. */
  private static final long MAX_LACKS_MILLIS = 250;

  private int busyInRow;
  private long busyUntilNanos;
  private Position lacked = Position.NONE;
  private boolean lacks;
  private long lacksUntilNanos;

  /** The server had no slot. */
  void busy(long nowNanos) {
    busyUntilNanos = nowNanos + busyPauseNanos();
    busyInRow++;
  }

  private long busyPauseNanos() {
    long millis = Math.min(MAX_BUSY_MILLIS, FIRST_BUSY_MILLIS << Math.min(busyInRow, 4));
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** The server gave a statement a slot, or one of this host's statements gave one back. */
  void tookWork() {
    busyInRow = 0;
    busyUntilNanos = 0;
  }

  /**
   * The server lacked a position.
   *
   * @param expectedNanos when it is expected to have it
   */
  void lacked(Position position, long nowNanos, long expectedNanos) {
    if (!lacks || position.compareTo(lacked) < 0) {
      lacked = position;
    }
    lacks = true;
    lacksUntilNanos = nowNanos + lacksPauseNanos(nowNanos, expectedNanos);
  }

  private static long lacksPauseNanos(long nowNanos, long expectedNanos) {
    long least = TimeUnit.MILLISECONDS.toNanos(MIN_LACKS_MILLIS);
    long most = TimeUnit.MILLISECONDS.toNanos(MAX_LACKS_MILLIS);
    return Math.min(most, Math.max(least, expectedNanos - nowNanos));
  }

  /** The server showed a position. */
  void shows(Position position) {
    if (lacks && position.compareTo(lacked) >= 0) {
      lacks = false;
    }
  }

  /** Returns whether the server is known to lack a position, and not expected to have it by now. */
  boolean lacks(Position wanted, long nowNanos) {
    return lacks && wanted.compareTo(lacked) >= 0 && nowNanos - lacksUntilNanos < 0;
  }

  /** Returns whether the server had no slot a moment ago. */
  boolean busyNow(long nowNanos) {
    return busyInRow > 0 && nowNanos - busyUntilNanos < 0;
  }

  /** A statement goes there: others that need the same wait for its answer. */
  void asked(long nowNanos) {
    if (busyInRow > 0) {
      busyUntilNanos = nowNanos + busyPauseNanos();
    }
    if (lacks && nowNanos - lacksUntilNanos >= 0) {
      lacksUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(MIN_LACKS_MILLIS);
    }
  }
}
