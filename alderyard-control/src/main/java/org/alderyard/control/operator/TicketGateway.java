package org.alderyard.control.operator;

import java.util.concurrent.CompletableFuture;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.Ticket;

/** Brings a ticket to the control host that leads. */
@FunctionalInterface
public interface TicketGateway {

  /** Returns the answer once the ticket is ordered. */
  CompletableFuture<SubmitTicketReply> submit(Ticket ticket);
}
