package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionStatement.Rollback;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.pool.ConnectionPools;
import org.alderyard.proxy.view.ViewHolder;

/**
 * What all sessions of a host share.
 *
 * @param views the view
 * @param routings what the servers of each group have shown
 * @param pools the connections
 * @param workers run what happens later
 * @param clock for intervals
 * @param wallClock the time of day, to notice that this host was suspended
 * @param metrics what is counted
 * @param viewConfirmed whether the control hosts have confirmed this host's view of late
 * @param routineLog of how many statements that went well one is logged
 */
record SessionParts(
    ViewHolder views,
    GroupRoutings routings,
    ConnectionPools<PooledSession> pools,
    WorkerPool workers,
    MonotonicClock clock,
    InstantSource wallClock,
    SessionMetrics metrics,
    BooleanSupplier viewConfirmed,
    SampledLog routineLog) {
  /** A rollback takes no slot; a server that does not answer it in this time is not waited for. */
  private static final Duration ROLLBACK_TIMEOUT = Duration.ofMillis(500);

  /** Checks. */
  SessionParts {
    Objects.requireNonNull(views);
    Objects.requireNonNull(routings);
    Objects.requireNonNull(pools);
    Objects.requireNonNull(workers);
    Objects.requireNonNull(clock);
    Objects.requireNonNull(wallClock);
    Objects.requireNonNull(metrics);
    Objects.requireNonNull(viewConfirmed);
    Objects.requireNonNull(routineLog);
  }

  List<ServerState> servers(GroupId group) {
    return views.current().serversOf(group);
  }

  Optional<GroupState> group(GroupId group) {
    return views.current().group(group);
  }

  /** Gives a connection back that has no transaction. */
  void release(ServerState server, PooledSession session) {
    pools.release(server, session);
  }

  /** Ends the transaction of a connection and gives it back; closes it if that fails. */
  void rollBackAndRelease(ServerState server, PooledSession session) {
    if (!session.usable()) {
      release(server, session);
      return;
    }
    session
        .runOwn(new Rollback(), ROLLBACK_TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              if (failure != null || !clean(reply)) {
                session.close();
              }
              release(server, session);
            });
  }

  private static boolean clean(SessionReply reply) {
    return reply.succeeded() && reply.state() == TransactionState.NONE;
  }

  /** Closes a connection, which ends its transaction, and tells the pool. */
  void discard(ServerState server, PooledSession session) {
    session.close();
    release(server, session);
  }

  /**
   * Returns the refusal of a database that this host's view does not name.
   *
   * <p>Without a confirmation of late the database may have come since: the caller is not to blame
   * and asks another host.
   */
  Refusal unknown(String database) {
    return viewConfirmed.getAsBoolean()
        ? new Refusal(RefusalCode.UNKNOWN_DATABASE, database)
        : new Refusal(
            RefusalCode.BUSY,
            "this host has lost touch with the control hosts and does not know " + database);
  }
}
