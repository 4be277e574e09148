package org.alderyard.proxy.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.ledger.OwnedWriteReply;
import org.alderyard.protocol.generated.ledger.OwnedWriteRequest;

/** Passes a write on to the proxy that owns its request id. */
@FunctionalInterface
public interface OwnerLink {

  /**
   * Sends the write; a failure is typed, and {@code NOT_RUN} only if the owner did not admit it.
   */
  CompletableFuture<OwnedWriteReply> send(
      HostState owner, OwnedWriteRequest request, Duration timeout);
}
