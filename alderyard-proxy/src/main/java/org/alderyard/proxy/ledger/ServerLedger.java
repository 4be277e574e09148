package org.alderyard.proxy.ledger;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WritePath;
import org.alderyard.proxy.write.WriteRequest;

/**
 * The ledger of the backend servers: each records the request id in the transaction of the write.
 *
 * <p>The record moves with the log of the group, so a resend is answered from it through any proxy
 * and on any later primary that holds the write; where the write was lost, its record was too.
 */
public final class ServerLedger implements RequestLedger {
  private final WritePath writes;

  /** Creates a ledger over the path of writes. */
  public ServerLedger(WritePath writes) {
    this.writes = Objects.requireNonNull(writes);
  }

  @Override
  public CompletableFuture<WriteAnswer> run(WriteRequest request) {
    return writes.run(request);
  }
}
