package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.statement.EndHeldTransactionRequest;
import org.alderyard.protocol.generated.statement.HeldStatementReply;
import org.alderyard.protocol.generated.statement.HeldStatementRequest;

/** The way to the hosts that hold connections. */
interface HolderCalls {
  /**
   * Has a statement run.
   *
   * @return fails with {@code NOT_RUN} only if the holder surely did not get it, or refused it
   */
  CompletableFuture<HeldStatementReply> run(
      HostState holder, HeldStatementRequest request, Duration timeout);

  /** Ends a transaction without keeping anything; an answer is not waited for. */
  void end(HostState holder, EndHeldTransactionRequest request);
}
