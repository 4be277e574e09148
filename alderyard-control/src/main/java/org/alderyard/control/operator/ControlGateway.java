package org.alderyard.control.operator;

import java.util.concurrent.CompletableFuture;
import org.alderyard.protocol.generated.control.ControlStatusReply;
import org.alderyard.protocol.generated.control.DrainHostReply;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketStatusReply;

/** Sends operator requests to the leader of the control hosts. */
public interface ControlGateway {

  /**
   * Submits a ticket. The future completes with the verdict once the log has applied the ticket.
   */
  CompletableFuture<SubmitTicketReply> submit(Ticket ticket);

  /** Returns the ticket with the given number, or the newest tickets if the number is 0. */
  CompletableFuture<TicketStatusReply> tickets(long number);

  /** Starts or ends the drain of a host. */
  CompletableFuture<DrainHostReply> drain(DrainHostRequest request);

  /** Returns the leader, its term, and the counts of hosts whose view is current. */
  CompletableFuture<ControlStatusReply> status();
}
