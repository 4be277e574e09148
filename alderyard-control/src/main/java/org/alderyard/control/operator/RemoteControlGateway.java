package org.alderyard.control.operator;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.ControlStatusReply;
import org.alderyard.protocol.generated.control.ControlStatusRequest;
import org.alderyard.protocol.generated.control.DrainHostReply;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.SubmitTicketRequest;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketStatusReply;
import org.alderyard.protocol.generated.control.TicketStatusRequest;

/**
 * Sends operator requests over the inner protocol. Every request is idempotent and can be retried:
 * a ticket is identified by its number, and a drain request contains the complete new state.
 */
public final class RemoteControlGateway implements ControlGateway {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final ControlClient control;

  /** Creates a gateway that sends requests through the given client. */
  public RemoteControlGateway(ControlClient control) {
    this.control = control;
  }

  @Override
  public CompletableFuture<SubmitTicketReply> submit(Ticket ticket) {
    return control.callWithRetries(
        ControlMethods.SUBMIT_TICKET,
        SubmitTicketRequest.newBuilder().setTicket(ticket).build(),
        TIMEOUT);
  }

  @Override
  public CompletableFuture<TicketStatusReply> tickets(long number) {
    return control.callIdempotent(
        ControlMethods.TICKET_STATUS,
        TicketStatusRequest.newBuilder().setNumber(number).build(),
        TIMEOUT);
  }

  @Override
  public CompletableFuture<DrainHostReply> drain(DrainHostRequest request) {
    return control.callWithRetries(ControlMethods.DRAIN_HOST, request, TIMEOUT);
  }

  @Override
  public CompletableFuture<ControlStatusReply> status() {
    return control.callIdempotent(
        ControlMethods.STATUS, ControlStatusRequest.getDefaultInstance(), TIMEOUT);
  }
}
