package org.alderyard.proxy.write;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.PoolState;
import org.alderyard.proxy.limit.RetryBudget;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.view.ViewHolder;

/** Runs a write on the primary of its group and waits for its acknowledgement. */
public final class WritePath {
  private static final int MAX_WAITING_PER_GROUP = 1_000;

  private final List<BiConsumer<GroupId, ServerId>> lostListeners = new CopyOnWriteArrayList<>();
  private final WriteParts parts;

  /**
   * Creates the path.
   *
   * @param admission when a write may be sent
   * @param ledgerOnServers whether all servers of a group record writes under their ledger keys
   * @param viewLeaseValid whether the view may be acted on
   */
  public WritePath(
      ViewHolder views,
      ServerPools pools,
      ServerAdmin admin,
      RetryBudget permits,
      WriteAdmission admission,
      Predicate<GroupId> ledgerOnServers,
      BooleanSupplier viewLeaseValid,
      WorkerPool workers,
      MonotonicClock clock) {
    parts =
        new WriteParts(
            views,
            pools,
            new MajorityAcknowledger(views, admin, workers),
            new PrimaryWaiters(views, workers, MAX_WAITING_PER_GROUP),
            admission,
            new Flights(views),
            permits,
            ledgerOnServers,
            viewLeaseValid,
            (group, server) -> lostListeners.forEach(listener -> listener.accept(group, server)),
            workers,
            clock);
  }

  /** Adds a listener for each connection to a primary that was refused or broke under a write. */
  public void onPrimaryLost(BiConsumer<GroupId, ServerId> listener) {
    lostListeners.add(listener);
  }

  /** Runs a write; a failure is a typed error that tells the outcome. */
  public CompletableFuture<WriteAnswer> run(WriteRequest request) {
    return new WriteRun(parts, request).start();
  }

  /**
   * Returns the primary of a group, and waits for one while there is none.
   *
   * @return fails as {@code NOT_RUN} when none comes in time or the view may not be acted on
   */
  public CompletableFuture<WriteTarget> primary(GroupId group, Duration timeout) {
    if (!parts.viewLeaseValid().getAsBoolean()) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.VIEW_LEASE_EXPIRED, "this proxy has lost touch with the control hosts"));
    }
    return parts.waiters().await(group, 0, timeout);
  }

  /** Acknowledges what a primary answered; a failure says {@code OUTCOME_UNKNOWN}. */
  public CompletableFuture<WriteAnswer> acknowledge(
      PoolState pool, GroupId group, WriteTarget target, BackendAnswer answer, Duration timeout) {
    return Acknowledgement.of(parts, pool, group, target, answer, timeout);
  }

  /** Returns how many polls were sent to replicas for acknowledgements. */
  public long acknowledgementPolls() {
    return parts.majority().polls();
  }
}
