package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionStatement.Rollback;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.log.LogLimiter;
import org.alderyard.common.start.StartLog;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.pool.ConnectionPools;
import org.alderyard.proxy.view.LeasedView;
import org.alderyard.proxy.view.ViewHolder;

/**
 * Components that all sessions of a host share.
 *
 * @param views the current view
 * @param routings the routing state of each group
 * @param pools the connection pools
 * @param workers run asynchronous and delayed tasks
 * @param clock measures intervals
 * @param wallClock the time of day, used to detect that this host was suspended
 * @param metrics the session metrics
 * @param leasedViews the current view with its lease, for refusals that depend on the lease
 * @param gate holds operations while the view may be old
 * @param routineLog selects the successful statements that are logged
 * @param refusalLog bounds the logged refusals of databases that are not in the view
 * @param startLog records the first proof of a primary, sample and statement of this process
 * @param admission decides which statements are served while servers are short of slots
 */
record SessionContext(
    ViewHolder views,
    GroupRoutings routings,
    ConnectionPools<PooledSession> pools,
    WorkerPool workers,
    MonotonicClock clock,
    InstantSource wallClock,
    SessionMetrics metrics,
    LeasedView.Source leasedViews,
    OperationGate gate,
    LogSampler routineLog,
    LogLimiter refusalLog,
    StartLog startLog,
    HostAdmission admission) {
  /**
   * Timeout of a rollback, after which the connection is closed. A rollback needs no slot on the
   * server, so that it does not wait for other statements.
   */
  private static final Duration ROLLBACK_TIMEOUT = Duration.ofMillis(500);

  /** Rejects null components. */
  SessionContext {
    Objects.requireNonNull(views);
    Objects.requireNonNull(routings);
    Objects.requireNonNull(pools);
    Objects.requireNonNull(workers);
    Objects.requireNonNull(clock);
    Objects.requireNonNull(wallClock);
    Objects.requireNonNull(metrics);
    Objects.requireNonNull(leasedViews);
    Objects.requireNonNull(gate);
    Objects.requireNonNull(routineLog);
    Objects.requireNonNull(refusalLog);
    Objects.requireNonNull(startLog);
    Objects.requireNonNull(admission);
  }

  List<ServerState> servers(GroupId group) {
    return views.current().serversOf(group);
  }

  Optional<GroupState> group(GroupId group) {
    return views.current().group(group);
  }

  /** Returns a connection without an open transaction to its pool. */
  void release(ServerState server, PooledSession session) {
    pools.release(server, session);
  }

  /**
   * Rolls back the transaction of a connection and returns the connection to its pool; closes the
   * connection if the rollback fails.
   */
  void rollBackAndRelease(ServerState server, PooledSession session) {
    if (!session.usable()) {
      release(server, session);
      return;
    }
    session
        .runInternal(new Rollback(), ROLLBACK_TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              if (failure != null || !isRolledBack(reply)) {
                session.close();
              }
              release(server, session);
            });
  }

  private static boolean isRolledBack(SessionReply reply) {
    return reply.succeeded() && reply.state() == TransactionState.NONE;
  }

  /** Closes a connection, which ends its transaction, and releases it to its pool. */
  void discard(ServerState server, PooledSession session) {
    session.close();
    release(server, session);
  }
}
