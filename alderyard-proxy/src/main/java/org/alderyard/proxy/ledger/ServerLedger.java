package org.alderyard.proxy.ledger;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WritePath;
import org.alderyard.proxy.write.WriteRequest;

/**
 * The ledger of the backend servers, which record the request ID in the transaction of the write.
 *
 * <p>The record is replicated with the log of the group, so a resend is answered from it through
 * any proxy and on any later primary that holds the write. If the write was lost, its record was
 * lost too.
 */
public final class ServerLedger implements RequestLedger {
  private final WritePath writes;

  /** Creates a ledger that runs writes on the given path. */
  public ServerLedger(WritePath writes) {
    this.writes = Objects.requireNonNull(writes);
  }

  @Override
  public CompletableFuture<WriteAnswer> run(WriteRequest request) {
    return writes.run(request);
  }
}
