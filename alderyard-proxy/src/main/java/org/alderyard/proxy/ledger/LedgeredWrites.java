package org.alderyard.proxy.ledger;

import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.alderyard.common.id.GroupId;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WritePath;
import org.alderyard.proxy.write.WriteRequest;

/** Runs writes: those with a request id under the ledger that their group has. */
public final class LedgeredWrites {
  private final WritePath writes;
  private final Predicate<GroupId> ledgerOnServers;
  private final RequestLedger servers;
  private final RequestLedger owner;

  /**
   * Creates the choice.
   *
   * @param ledgerOnServers whether all servers of a group record writes under their ledger keys
   * @param owner the ledger for groups whose servers don't
   */
  public LedgeredWrites(WritePath writes, Predicate<GroupId> ledgerOnServers, RequestLedger owner) {
    this.writes = writes;
    this.ledgerOnServers = ledgerOnServers;
    this.owner = owner;
    servers = new ServerLedger(writes);
  }

  /** Runs a write; a failure is a typed error that tells the outcome. */
  public CompletableFuture<WriteAnswer> run(WriteRequest request) {
    if (request.ledgerKey().isEmpty()) {
      return writes.run(request);
    }
    return ledgerOnServers.test(request.group()) ? servers.run(request) : owner.run(request);
  }
}
