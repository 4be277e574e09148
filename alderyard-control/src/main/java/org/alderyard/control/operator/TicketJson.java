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

/** The answers of the control hosts as operators read them. */
final class TicketJson {

  private TicketJson() {}

  /** Returns an accepted ticket, or throws the typed error of one that is not. */
  static JsonNode answer(SubmitTicketReply reply) {
    TicketAnswer answer = reply.getAnswer();
    return switch (answer.getVerdict()) {
      case ACCEPTED -> accepted(reply);
      case CONFLICT ->
          throw AlderyardException.notRun(
              ErrorCode.TICKET_CONFLICT,
              "ticket "
                  + answer.getNumber()
                  + " was accepted with other content: hash "
                  + hash(answer)
                  + " at version "
                  + StateCodec.version(answer.getAcceptedVersion())
                  + ", objects "
                  + String.join(", ", answer.getObjectsList()));
      case INVALID -> throw new TicketException(answer.getNumber(), faults(answer.getFaultsList()));
      case FORGOTTEN -> throw forgotten(answer);
      case UNRECOGNIZED ->
          throw AlderyardException.unknown(
              ErrorCode.INTERNAL, "the control host gave a verdict that this build lacks", null);
    };
  }

  /** It may be an accepted one that is sent again: nothing that it says may deny that. */
  private static AlderyardException forgotten(TicketAnswer answer) {
    return AlderyardException.unknown(
        ErrorCode.TICKET_FORGOTTEN,
        "ticket "
            + answer.getNumber()
            + " is not applied now; whether it was accepted before is no longer remembered:"
            + " look at the state of its objects; accepted are numbers above "
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

  /** Returns one ticket, or the typed error of a number that was not accepted. */
  static JsonNode one(long number, TicketStatusReply reply) {
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
          ErrorCode.NOT_FOUND, "no host " + host + " runs or was named by a ticket");
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
