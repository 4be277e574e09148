package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.data.DataMethods;
import org.alderyard.protocol.generated.statement.EndHeldTransactionRequest;
import org.alderyard.protocol.generated.statement.HeldStatementReply;
import org.alderyard.protocol.generated.statement.HeldStatementRequest;
import org.alderyard.protocol.wire.PeerLink;
import org.alderyard.protocol.wire.PeerLinks;

/** The way to holders over the links between hosts. */
final class LinkedHolders implements HolderCalls {
  /** A host that takes no connection in this time is passed over: others hold connections too. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /**
   * Guards against links that are closed and made anew while all hosts are slow: a holder that has
   * just started answers little in the time of a statement, and a handshake costs it more.
   */
  private static final Duration SILENCE = Duration.ofSeconds(3);

  private static final Duration END_TIMEOUT = Duration.ofMillis(500);

  private final PeerLinks links;

  LinkedHolders(PeerLinks links) {
    this.links = links;
  }

  @Override
  public CompletableFuture<HeldStatementReply> run(
      HostState holder, HeldStatementRequest request, Duration timeout) {
    PeerLink link = links.to(holder.innerAddress());
    return link.connected(CONNECT_TIMEOUT)
        .thenCompose(open -> link.call(DataMethods.RUN_HELD_STATEMENT, request, timeout, SILENCE));
  }

  @Override
  public void end(HostState holder, EndHeldTransactionRequest request) {
    links
        .to(holder.innerAddress())
        .call(DataMethods.END_HELD_TRANSACTION, request, END_TIMEOUT, SILENCE);
  }
}
