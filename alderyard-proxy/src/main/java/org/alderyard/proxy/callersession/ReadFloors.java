package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.view.DatabaseState;
import org.alderyard.common.view.SessionReads;

/**
 * Finds the position that a server must hold for a read.
 *
 * <p>Guards against a herd on the primaries: a host that has just started, or that was suspended,
 * has no sample, and all reads that came until the first one turned to the primaries, which alone
 * prove their lead, and queued there for half a second while the replicas stood idle. One question
 * serves all of them, and takes no slot.
 */
final class ReadFloors {
  /**
   * The longest wait for a sample: a question, its connection and a second question after a change
   * of primary take less, also on a host whose code is cold.
   */
  private static final long SAMPLE_WAIT_MILLIS = 250;

  /** The part of a statement's time that may be spent on it; the primary must still be asked. */
  private static final int WAIT_DIVISOR = 4;

  private final SessionParts parts;
  private final SampleRefresher refresher;

  ReadFloors(SessionParts parts, SampleRefresher refresher) {
    this.parts = parts;
    this.refresher = refresher;
  }

  /**
   * Returns what a server must hold for a read.
   *
   * @param written the position of the session's own last write, if there is one
   * @return empty if only a server that leads may run it
   */
  CompletableFuture<Optional<GroupRouting.Floor>> floor(
      DatabaseState database, Optional<GroupRouting.Floor> written) {
    if (database.reads() == SessionReads.NEWEST) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    Optional<GroupRouting.Floor> own =
        database.reads() == SessionReads.OWN_WRITES ? written : Optional.empty();
    refresher.used(database, parts.clock().nowNanos());
    Optional<GroupRouting.Floor> known = known(database, own);
    if (known.isPresent()) {
      return CompletableFuture.completedFuture(known);
    }
    long limitMillis =
        Math.min(SAMPLE_WAIT_MILLIS, database.statementTimeoutMillis() / WAIT_DIVISOR);
    CompletableFuture<Void> arrival = parts.routings().of(database.group()).nextSample(limitMillis);
    // A sample that came in between is not told of.
    Optional<GroupRouting.Floor> meanwhile = known(database, own);
    if (meanwhile.isPresent()) {
      return CompletableFuture.completedFuture(meanwhile);
    }
    return arrival.thenApplyAsync(done -> known(database, own), parts.workers()::execute);
  }

  private Optional<GroupRouting.Floor> known(
      DatabaseState database, Optional<GroupRouting.Floor> own) {
    return parts
        .routings()
        .of(database.group())
        .floor(
            parts.clock().nowNanos(),
            parts.wallClock().millis(),
            TimeUnit.MILLISECONDS.toNanos(database.maxStalenessMillis()),
            own);
  }
}
