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
 * An open transaction and the connection that it uses exclusively.
 *
 * <p>Thread-safe; no other lock is acquired while its lock is held.
 */
final class OpenTransaction {
  private final CallerId caller;
  private final PoolState pool;
  private final GroupId group;
  private final WriteTarget target;
  private final ServerConnection connection;
  private final long startedNanos;
  private final CompletableFuture<Void> ended = new CompletableFuture<>();
  // Guarded by this.
  private long lastUsedNanos;
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
    startedNanos = nowNanos;
    lastUsedNanos = nowNanos;
  }

  /** Marks the connection as busy with a request; a concurrent request is rejected. */
  synchronized void beginRequest() {
    if (busy) {
      // NOT_RUN is accurate: no part of this request was given to the connection.
      throw AlderyardException.notRun(
          ErrorCode.REQUEST_IN_PROGRESS, "another request of the transaction is running");
    }
    busy = true;
  }

  synchronized void endRequest(long nowNanos) {
    busy = false;
    lastUsedNanos = nowNanos;
  }

  synchronized boolean expired(TransactionLimits limits, long nowNanos) {
    boolean totalExceeded = hasElapsed(startedNanos, limits.total(), nowNanos);
    return totalExceeded || (!busy && hasElapsed(lastUsedNanos, limits.idle(), nowNanos));
  }

  private static boolean hasElapsed(long sinceNanos, Duration limit, long nowNanos) {
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

  /** Completes when the transaction has ended in any way. */
  CompletableFuture<Void> ended() {
    return ended;
  }
}
