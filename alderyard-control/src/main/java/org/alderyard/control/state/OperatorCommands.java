package org.alderyard.control.state;

import com.google.protobuf.MessageLite;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.error.FieldFault;
import org.alderyard.common.id.GroupId;
import org.alderyard.protocol.generated.control.DrainHostReply;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.control.TicketFault;
import org.alderyard.protocol.generated.control.TicketVerdict;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.HostPolicy;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Version;
import org.alderyard.protocol.view.StateCodec;

/** Prepares tickets and drains of hosts, and the replies with their faults. */
final class OperatorCommands {
  private final ViewTable views;
  private final TicketTable tickets;
  private final HostRegistry hosts;
  private final ServerRegistry servers;

  OperatorCommands(
      ViewTable views, TicketTable tickets, HostRegistry hosts, ServerRegistry servers) {
    this.views = views;
    this.tickets = tickets;
    this.hosts = hosts;
    this.servers = servers;
  }

  Prepared ticket(long index, Ticket ticket) {
    Optional<TicketAnswer> previous =
        tickets.findPreviousAnswer(ticket.getNumber(), ticket.getContentHash());
    if (previous.isPresent()) {
      return unchanged(previous.get());
    }
    TicketAnswer.Builder answer =
        TicketAnswer.newBuilder()
            .setNumber(ticket.getNumber())
            .setContentHash(ticket.getContentHash());
    List<FieldFault> faults =
        TicketValidator.check(views.view(), hosts::isKnown, ticket.getObjectsList());
    if (!faults.isEmpty()) {
      faults.forEach(fault -> answer.addFaults(faultMessage(fault)));
      return unchanged(answer.setVerdict(TicketVerdict.INVALID).build());
    }
    Plan plan = new Plan();
    ticket.getObjectsList().forEach(object -> planObject(object, plan));
    ticket.getObjectsList().forEach(object -> answer.addObjects(TicketObjects.name(object)));
    Optional<ViewTable.Next> next = views.prepare(index, plan.objects());
    TicketAnswer accepted = answer.setAcceptedVersion(versionAfter(next)).build();
    plan.effect(() -> tickets.add(accepted));
    return new Prepared(next, plan, accepted.toByteString());
  }

  private static Prepared unchanged(MessageLite reply) {
    return new Prepared(Optional.empty(), new Plan(), reply.toByteString());
  }

  /** Returns the version of the view after the command. */
  private Version versionAfter(Optional<ViewTable.Next> next) {
    return StateCodec.versionMessage(next.map(ViewTable.Next::view).orElse(views.view()).version());
  }

  private static TicketFault faultMessage(FieldFault fault) {
    return TicketFault.newBuilder()
        .setObject(fault.object())
        .setField(fault.field())
        .setValue(fault.value())
        .setAccepted(fault.accepted())
        .build();
  }

  private void planObject(ObjectState object, Plan plan) {
    switch (object.getObjectCase()) {
      case GROUP -> plan.change(withTermAndPrimary(object.getGroup()));
      case HOST_POLICY -> hosts.setPolicy(object.getHostPolicy(), plan);
      case REMOVED_HOST_POLICY -> hosts.removePolicy(object.getRemovedHostPolicy(), plan);
      case REMOVED_SERVER ->
          plan.effect(() -> servers.remove(object.getRemovedServer())).change(object);
      default -> plan.change(object);
    }
  }

  /**
   * Returns the group with its current term, primary and term history. A ticket sets only the
   * limits of a group; the failover director manages its term and primary.
   */
  private ObjectState withTermAndPrimary(Group requested) {
    Group.Builder group = requested.toBuilder();
    views
        .view()
        .group(new GroupId(requested.getId()))
        .map(StateCodec::groupMessage)
        .ifPresent(
            current ->
                group
                    .setTerm(current.getTerm())
                    .setPrimary(current.getPrimary())
                    .addAllTermHistory(current.getTermHistoryList()));
    return ObjectState.newBuilder().setGroup(group).build();
  }

  Prepared drain(long index, DrainHostRequest request) {
    DrainHostReply.Builder reply = DrainHostReply.newBuilder();
    Plan plan = new Plan();
    if (hosts.isKnown(request.getHost())) {
      HostPolicy policy =
          hosts
              .policy(request.getHost())
              .orElseGet(() -> unrestrictedPolicy(request.getHost()))
              .toBuilder()
              .setDraining(request.getDraining())
              .build();
      hosts.setPolicy(policy, plan);
    } else {
      FieldFault fault =
          new FieldFault("host/" + request.getHost(), "name", request.getHost(), "a known host");
      reply.addFaults(faultMessage(fault));
    }
    Optional<ViewTable.Next> next = views.prepare(index, plan.objects());
    reply.setVersion(versionAfter(next));
    return new Prepared(next, plan, reply.build().toByteString());
  }

  private static HostPolicy unrestrictedPolicy(String host) {
    return HostPolicy.newBuilder().setId(host).setProxy(true).setControl(true).build();
  }
}
