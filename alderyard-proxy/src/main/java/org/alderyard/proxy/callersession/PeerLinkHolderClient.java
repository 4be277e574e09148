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

/** Sends statements to holders over the links between hosts. */
final class PeerLinkHolderClient implements HolderClient {
  /**
   * A host that does not accept a connection within this time is skipped, as other hosts hold
   * connections too.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /**
   * Time without received data after which a link is closed. A shorter time would close and reopen
   * links while all hosts are slow: a holder that has just started sends little within the timeout
   * of a statement, and a handshake slows it further.
   */
  private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);

  private static final Duration END_TIMEOUT = Duration.ofMillis(500);

  private final PeerLinks links;

  PeerLinkHolderClient(PeerLinks links) {
    this.links = links;
  }

  @Override
  public CompletableFuture<HeldStatementReply> run(
      HostState holder, HeldStatementRequest request, Duration timeout) {
    PeerLink link = links.linkTo(holder.innerAddress());
    return link.whenConnected(CONNECT_TIMEOUT)
        .thenCompose(
            connected ->
                link.call(DataMethods.RUN_HELD_STATEMENT, request, timeout, SILENCE_TIMEOUT));
  }

  @Override
  public void end(HostState holder, EndHeldTransactionRequest request) {
    links
        .linkTo(holder.innerAddress())
        .call(DataMethods.END_HELD_TRANSACTION, request, END_TIMEOUT, SILENCE_TIMEOUT);
  }
}
