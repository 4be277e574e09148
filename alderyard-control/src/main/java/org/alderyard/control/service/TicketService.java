package org.alderyard.control.service;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.log.ControlLog;
import org.alderyard.control.state.ControlState;
import org.alderyard.control.state.TicketObjects;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.ControlStatusReply;
import org.alderyard.protocol.generated.control.DrainHostReply;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.SubmitTicketRequest;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.control.TicketStatusReply;
import org.alderyard.protocol.generated.control.TicketStatusRequest;
import org.alderyard.protocol.generated.control.TicketVerdict;
import org.alderyard.protocol.view.StateCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Proposes tickets and host drains, and reports on how many hosts a ticket is in force. */
final class TicketService {
  /** Maximum number of tickets in one list. */
  static final int LIST_LIMIT = 200;

  private static final Logger log = LoggerFactory.getLogger(TicketService.class);

  private final ControlLog controlLog;
  private final ControlState state;
  private final Proposer proposer;
  private final LeaderLeases leases;

  TicketService(ControlLog controlLog, ControlState state, Proposer proposer, LeaderLeases leases) {
    this.controlLog = controlLog;
    this.state = state;
    this.proposer = proposer;
    this.leases = leases;
  }

  CompletableFuture<SubmitTicketReply> submit(SubmitTicketRequest request) {
    Ticket ticket = request.getTicket();
    Ticket expected = TicketObjects.ticket(ticket.getNumber(), ticket.getObjectsList());
    if (!expected.getContentHash().equals(ticket.getContentHash())) {
      throw AlderyardException.notRun(
          ErrorCode.MESSAGE_DAMAGED,
          "ticket " + ticket.getNumber() + " was corrupted in transit: content hash mismatch");
    }
    return proposer
        .propose(Command.newBuilder().setTicket(ticket), TicketAnswer.parser())
        .thenApply(
            answer -> {
              log.info(
                  "event=ticket number={} verdict={} version={} faults={}",
                  answer.getNumber(),
                  answer.getVerdict(),
                  StateCodec.version(answer.getAcceptedVersion()),
                  answer.getFaultsCount());
              return withProgress(answer);
            });
  }

  private SubmitTicketReply withProgress(TicketAnswer answer) {
    SubmitTicketReply.Builder reply = SubmitTicketReply.newBuilder().setAnswer(answer);
    if (answer.hasAcceptedVersion()) {
      var progress = leases.progress(StateCodec.version(answer.getAcceptedVersion()));
      reply.setHostsInForce(progress.inForce()).setHostsExpected(progress.expected());
    }
    return reply.build();
  }

  /**
   * Returns the status of a ticket, or of the highest numbers for number 0, from a state that a
   * quorum has confirmed.
   */
  CompletableFuture<TicketStatusReply> status(TicketStatusRequest request) {
    return controlLog.readBarrier().thenApply(done -> readTickets(request.getNumber()));
  }

  private TicketStatusReply readTickets(long number) {
    List<TicketAnswer> answers =
        number == 0 ? state.newestTickets(LIST_LIMIT) : state.ticket(number).stream().toList();
    TicketStatusReply.Builder reply = TicketStatusReply.newBuilder().setFloor(state.ticketFloor());
    answers.forEach(answer -> reply.addTickets(withProgress(answer)));
    if (number != 0 && number <= state.ticketFloor()) {
      TicketAnswer forgotten =
          TicketAnswer.newBuilder()
              .setNumber(number)
              .setVerdict(TicketVerdict.FORGOTTEN)
              .setFloor(state.ticketFloor())
              .build();
      reply.addTickets(SubmitTicketReply.newBuilder().setAnswer(forgotten));
    }
    return reply.build();
  }

  CompletableFuture<DrainHostReply> drain(DrainHostRequest request) {
    return proposer
        .propose(Command.newBuilder().setDrainHost(request), DrainHostReply.parser())
        .thenApply(
            reply -> {
              log.info(
                  "event=host-drain host={} draining={} known={}",
                  request.getHost(),
                  request.getDraining(),
                  reply.getFaultsCount() == 0);
              return reply;
            });
  }

  CompletableFuture<ControlStatusReply> controlStatus() {
    return controlLog.readBarrier().thenApply(done -> readStatus());
  }

  private ControlStatusReply readStatus() {
    var view = state.view();
    ViewVersion version = view.version();
    var progress = leases.progress(version);
    long active =
        view.servers().values().stream().filter(s -> s.status() == ServerStatus.ACTIVE).count();
    return ControlStatusReply.newBuilder()
        .setLeader(controlLog.leader().map(Object::toString).orElse(""))
        .setTerm(controlLog.term())
        .setVersion(StateCodec.versionMessage(version))
        .setHostsCurrent(progress.inForce())
        .setHostsExpected(progress.expected())
        .setTicketFloor(state.ticketFloor())
        .setTicketsRemembered(state.ticketsRemembered())
        .setServersActive((int) active)
        .setServersKnown(view.servers().size())
        .build();
  }
}
