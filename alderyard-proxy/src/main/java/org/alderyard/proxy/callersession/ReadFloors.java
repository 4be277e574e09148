package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.view.DatabaseState;
import org.alderyard.common.view.SessionReads;

/**
 * Determines the position that a server must hold to run a read.
 *
 * <p>A host that has just started, or was suspended, has no sample. All reads that arrive before
 * the first sample share one sample request, which takes no slot. Without it, these reads went to
 * the primaries, which need no sample, and queued there for half a second while the replicas were
 * idle.
 */
final class ReadFloors {
  /**
   * Maximum wait for a sample. Opening a connection, one request and a second request after a
   * change of primary take less, even on a host that has not warmed up.
   */
  private static final long SAMPLE_WAIT_MILLIS = 250;

  /**
   * Divisor of the statement timeout that limits the wait for a sample; the rest is needed to query
   * the primary.
   */
  private static final int WAIT_DIVISOR = 4;

  private final SessionContext context;
  private final SampleRefresher refresher;

  ReadFloors(SessionContext context, SampleRefresher refresher) {
    this.context = context;
    this.refresher = refresher;
  }

  /**
   * Returns the position that a server must hold to run a read.
   *
   * @param written the position of the session's last write, if any
   * @return empty if only the primary may run the read
   */
  CompletableFuture<Optional<GroupRouting.Floor>> floor(
      DatabaseState database, Optional<GroupRouting.Floor> written) {
    if (database.reads() == SessionReads.NEWEST) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    Optional<GroupRouting.Floor> own =
        database.reads() == SessionReads.OWN_WRITES ? written : Optional.empty();
    refresher.refreshIfDue(database, context.clock().nowNanos());
    Optional<GroupRouting.Floor> floor = currentFloor(database, own);
    if (floor.isPresent()) {
      return CompletableFuture.completedFuture(floor);
    }
    long timeoutMillis =
        Math.min(SAMPLE_WAIT_MILLIS, database.statementTimeoutMillis() / WAIT_DIVISOR);
    CompletableFuture<Void> sampleAdded =
        context.routings().of(database.group()).awaitSample(timeoutMillis);
    // A sample that was added before the registration does not complete the future.
    Optional<GroupRouting.Floor> floorAfterRegistration = currentFloor(database, own);
    if (floorAfterRegistration.isPresent()) {
      return CompletableFuture.completedFuture(floorAfterRegistration);
    }
    return sampleAdded.thenApplyAsync(
        done -> currentFloor(database, own), context.workers()::execute);
  }

  private Optional<GroupRouting.Floor> currentFloor(
      DatabaseState database, Optional<GroupRouting.Floor> own) {
    return context
        .routings()
        .of(database.group())
        .floor(
            context.clock().nowNanos(),
            context.wallClock().millis(),
            TimeUnit.MILLISECONDS.toNanos(database.maxStalenessMillis()),
            own);
  }
}
