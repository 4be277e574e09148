package org.alderyard.proxy.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.ledger.OwnedWriteReply;
import org.alderyard.protocol.generated.ledger.OwnedWriteRequest;

/** Forwards a write to the proxy that owns its request ID. */
@FunctionalInterface
public interface OwnerClient {

  /**
   * Sends a write; a failure is typed, and {@code NOT_RUN} only if the owner did not admit the
   * write.
   */
  CompletableFuture<OwnedWriteReply> send(
      HostState owner, OwnedWriteRequest request, Duration timeout);
}
