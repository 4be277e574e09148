package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.statement.EndHeldTransactionRequest;
import org.alderyard.protocol.generated.statement.HeldStatementReply;
import org.alderyard.protocol.generated.statement.HeldStatementRequest;

/** Sends statements to the hosts that hold connections. */
interface HolderClient {
  /**
   * Runs a statement on a holder.
   *
   * @return a future that fails with the outcome {@code NOT_RUN} only if the holder refused the
   *     statement or is known not to have received it
   */
  CompletableFuture<HeldStatementReply> run(
      HostState holder, HeldStatementRequest request, Duration timeout);

  /** Rolls back a transaction on a holder without waiting for the reply. */
  void end(HostState holder, EndHeldTransactionRequest request);
}
