package org.alderyard.proxy.ledger;

import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.alderyard.common.id.GroupId;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WritePath;
import org.alderyard.proxy.write.WriteRequest;

/** Runs writes; a write with a request ID runs under the ledger that serves its group. */
public final class WriteExecutor {
  private final WritePath writes;
  private final Predicate<GroupId> hasServerLedger;
  private final RequestLedger serverLedger;
  private final RequestLedger ownerLedger;

  /**
   * Creates an instance that selects the ledger by group.
   *
   * @param hasServerLedger whether all servers of a group record writes under their ledger keys
   * @param ownerLedger the ledger for the groups whose servers do not record ledger keys
   */
  public WriteExecutor(
      WritePath writes, Predicate<GroupId> hasServerLedger, RequestLedger ownerLedger) {
    this.writes = writes;
    this.hasServerLedger = hasServerLedger;
    this.ownerLedger = ownerLedger;
    serverLedger = new ServerLedger(writes);
  }

  /** Runs a write; a failure is an {@code AlderyardException} with the outcome of the write. */
  public CompletableFuture<WriteAnswer> run(WriteRequest request) {
    if (request.ledgerKey().isEmpty()) {
      return writes.run(request);
    }
    return hasServerLedger.test(request.group())
        ? serverLedger.run(request)
        : ownerLedger.run(request);
  }
}
