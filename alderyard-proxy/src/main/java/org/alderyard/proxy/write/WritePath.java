package org.alderyard.proxy.write;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.alderyard.backend.BackendResponse;
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
  private static final int MAX_QUEUED_PER_GROUP = 1_000;

  private final List<BiConsumer<GroupId, ServerId>> connectionLossListeners =
      new CopyOnWriteArrayList<>();
  private final WriteContext context;

  /**
   * Creates a write path.
   *
   * @param admission decides when a write may be sent
   * @param hasServerLedger whether all servers of a group record writes under their ledger keys
   * @param viewLeaseValid whether the view lease is valid
   */
  public WritePath(
      ViewHolder views,
      ServerPools pools,
      ServerAdmin admin,
      RetryBudget permits,
      WriteAdmission admission,
      Predicate<GroupId> hasServerLedger,
      BooleanSupplier viewLeaseValid,
      WorkerPool workers,
      MonotonicClock clock) {
    context =
        new WriteContext(
            views,
            pools,
            new MajorityAcknowledger(views, admin, workers),
            new PrimaryWaitQueue(views, workers, MAX_QUEUED_PER_GROUP),
            admission,
            new InFlightWrites(views),
            permits,
            hasServerLedger,
            viewLeaseValid,
            (group, server) ->
                connectionLossListeners.forEach(listener -> listener.accept(group, server)),
            workers,
            clock);
  }

  /**
   * Adds a listener that is called when a connection to a primary is refused or breaks during a
   * write.
   */
  public void onPrimaryConnectionLost(BiConsumer<GroupId, ServerId> listener) {
    connectionLossListeners.add(listener);
  }

  /** Runs a write; a failure is an {@link AlderyardException} with the outcome of the write. */
  public CompletableFuture<WriteAnswer> run(WriteRequest request) {
    return new WriteRun(context, request).start();
  }

  /**
   * Returns the primary of a group, or waits for one until the timeout.
   *
   * @return fails as {@code NOT_RUN} when no primary becomes available in time or the view lease
   *     has expired
   */
  public CompletableFuture<WriteTarget> awaitPrimary(GroupId group, Duration timeout) {
    if (!context.viewLeaseValid().getAsBoolean()) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.VIEW_LEASE_EXPIRED, "this proxy has lost contact with the control hosts"));
    }
    return context.primaryQueue().await(group, 0, timeout);
  }

  /**
   * Waits for the acknowledgement of a write that a primary has run; failures have the outcome
   * {@code OUTCOME_UNKNOWN}.
   */
  public CompletableFuture<WriteAnswer> acknowledge(
      PoolState pool,
      GroupId group,
      WriteTarget target,
      BackendResponse response,
      Duration timeout) {
    return Acknowledgement.of(context, pool, group, target, response, timeout);
  }

  /** Returns the number of acknowledgement polls sent to replicas. */
  public long acknowledgementPolls() {
    return context.acknowledger().pollCount();
  }
}
