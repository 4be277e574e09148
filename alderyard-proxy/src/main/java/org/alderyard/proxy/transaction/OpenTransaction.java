package org.alderyard.proxy.transaction;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.ServerConnection;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.PoolState;
import org.alderyard.proxy.write.WriteTarget;

/**
 * A transaction and the connection that it alone uses.
 *
 * <p>Thread-safe; its own lock is a leaf.
 */
final class OpenTransaction {
  private final CallerId caller;
  private final PoolState pool;
  private final GroupId group;
  private final WriteTarget target;
  private final ServerConnection connection;
  private final long beganNanos;
  private final CompletableFuture<Void> ended = new CompletableFuture<>();
  // Guarded by this.
  private long usedNanos;
  private boolean busy;

  OpenTransaction(
      CallerId caller,
      PoolState pool,
      GroupId group,
      WriteTarget target,
      ServerConnection connection,
      long nowNanos) {
    this.caller = caller;
    this.pool = pool;
    this.group = group;
    this.target = target;
    this.connection = connection;
    beganNanos = nowNanos;
    usedNanos = nowNanos;
  }

  /** Takes the one turn on the connection; a second request at the same time is refused. */
  synchronized void enter() {
    if (busy) {
      // NOT_RUN holds: nothing of this request was given to the connection.
      throw AlderyardException.notRun(
          ErrorCode.REQUEST_IN_PROGRESS, "another request of the transaction is running");
    }
    busy = true;
  }

  synchronized void leave(long nowNanos) {
    busy = false;
    usedNanos = nowNanos;
  }

  synchronized boolean expired(TransactionLimits limits, long nowNanos) {
    boolean tooLong = over(beganNanos, limits.total(), nowNanos);
    return tooLong || (!busy && over(usedNanos, limits.idle(), nowNanos));
  }

  private static boolean over(long sinceNanos, Duration limit, long nowNanos) {
    return nowNanos - sinceNanos >= limit.toNanos();
  }

  CallerId caller() {
    return caller;
  }

  PoolState pool() {
    return pool;
  }

  GroupId group() {
    return group;
  }

  WriteTarget target() {
    return target;
  }

  ServerConnection connection() {
    return connection;
  }

  /** Done when the transaction has ended in any way. */
  CompletableFuture<Void> ended() {
    return ended;
  }
}
