package org.alderyard.control.operator;

import java.util.concurrent.CompletableFuture;
import org.alderyard.protocol.generated.control.ControlStatusReply;
import org.alderyard.protocol.generated.control.DrainHostReply;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketStatusReply;

/** Brings the requests of operators to the control host that leads. */
public interface ControlGateway {

  /** Returns the answer once the ticket is ordered. */
  CompletableFuture<SubmitTicketReply> submit(Ticket ticket);

  /** Returns one ticket, or the newest ones for number 0. */
  CompletableFuture<TicketStatusReply> tickets(long number);

  /** Starts or ends the drain of a host. */
  CompletableFuture<DrainHostReply> drain(DrainHostRequest request);

  /** Returns who leads and how far the hosts have followed. */
  CompletableFuture<ControlStatusReply> status();
}
