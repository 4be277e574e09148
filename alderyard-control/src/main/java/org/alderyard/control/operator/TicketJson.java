package org.alderyard.control.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HexFormat;
import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.FieldFault;
import org.alderyard.common.http.Json;
import org.alderyard.protocol.generated.control.ControlStatusReply;
import org.alderyard.protocol.generated.control.DrainHostReply;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.control.TicketFault;
import org.alderyard.protocol.generated.control.TicketStatusReply;
import org.alderyard.protocol.generated.control.TicketVerdict;
import org.alderyard.protocol.view.StateCodec;

/** Converts replies of the control hosts to JSON for operators. */
final class TicketJson {

  private TicketJson() {}

  /** Returns an accepted ticket; throws an exception for any other verdict. */
  static JsonNode answer(SubmitTicketReply reply) {
    TicketAnswer answer = reply.getAnswer();
    return switch (answer.getVerdict()) {
      case ACCEPTED -> accepted(reply);
      case CONFLICT ->
          throw AlderyardException.notRun(
              ErrorCode.TICKET_CONFLICT,
              "ticket "
                  + answer.getNumber()
                  + " was already accepted with different content: hash "
                  + hash(answer)
                  + " at version "
                  + StateCodec.version(answer.getAcceptedVersion())
                  + ", objects "
                  + String.join(", ", answer.getObjectsList()));
      case INVALID -> throw new TicketException(answer.getNumber(), faults(answer.getFaultsList()));
      case FORGOTTEN -> throw forgotten(answer);
      case UNRECOGNIZED ->
          throw AlderyardException.unknown(
              ErrorCode.INTERNAL,
              "the control host returned a ticket verdict that this version does not support",
              null);
    };
  }

  /**
   * Returns the error for a number that is no longer remembered. The outcome is unknown, because
   * the request may resend a ticket that was accepted earlier.
   */
  private static AlderyardException forgotten(TicketAnswer answer) {
    return AlderyardException.unknown(
        ErrorCode.TICKET_FORGOTTEN,
        "ticket "
            + answer.getNumber()
            + " was not applied now; it is no longer known whether it was accepted earlier."
            + " Check the state of its objects. New tickets need a number above "
            + answer.getFloor(),
        null);
  }

  private static List<FieldFault> faults(List<TicketFault> faults) {
    return faults.stream()
        .map(
            fault ->
                new FieldFault(
                    fault.getObject(), fault.getField(), fault.getValue(), fault.getAccepted()))
        .toList();
  }

  private static ObjectNode accepted(SubmitTicketReply reply) {
    TicketAnswer answer = reply.getAnswer();
    ObjectNode node = Json.object();
    node.put("number", answer.getNumber());
    node.put("contentHash", hash(answer));
    node.put("acceptedVersion", StateCodec.version(answer.getAcceptedVersion()).toString());
    ArrayNode objects = node.putArray("objects");
    answer.getObjectsList().forEach(objects::add);
    node.put("hostsInForce", reply.getHostsInForce());
    node.put("hostsExpected", reply.getHostsExpected());
    node.put("state", "in force on " + reply.getHostsInForce() + " of " + reply.getHostsExpected());
    return node;
  }

  private static String hash(TicketAnswer answer) {
    return HexFormat.of().formatHex(answer.getContentHash().toByteArray());
  }

  /** Returns the ticket with the given number; throws NOT_FOUND if none was accepted. */
  static JsonNode ticketStatus(long number, TicketStatusReply reply) {
    if (reply.getTicketsCount() == 0) {
      throw AlderyardException.notRun(ErrorCode.NOT_FOUND, "no ticket " + number + " was accepted");
    }
    return answer(reply.getTickets(0));
  }

  static JsonNode list(TicketStatusReply reply) {
    ObjectNode node = Json.object();
    node.put("floor", reply.getFloor());
    ArrayNode tickets = node.putArray("tickets");
    reply.getTicketsList().stream()
        .filter(ticket -> ticket.getAnswer().getVerdict() == TicketVerdict.ACCEPTED)
        .forEach(ticket -> tickets.add(accepted(ticket)));
    return node;
  }

  static JsonNode drain(String host, boolean draining, DrainHostReply reply) {
    if (reply.getFaultsCount() > 0) {
      throw AlderyardException.notRun(
          ErrorCode.NOT_FOUND, "no host " + host + " is running or defined by a ticket");
    }
    return Json.object()
        .put("host", host)
        .put("draining", draining)
        .put("acceptedVersion", StateCodec.version(reply.getVersion()).toString());
  }

  static JsonNode status(ControlStatusReply reply) {
    return Json.object()
        .put("leader", reply.getLeader())
        .put("term", reply.getTerm())
        .put("viewVersion", StateCodec.version(reply.getVersion()).toString())
        .put("hostsCurrent", reply.getHostsCurrent())
        .put("hostsExpected", reply.getHostsExpected())
        .put("ticketFloor", reply.getTicketFloor())
        .put("ticketsRemembered", reply.getTicketsRemembered())
        .put("serversActive", reply.getServersActive())
        .put("serversKnown", reply.getServersKnown());
  }
}
