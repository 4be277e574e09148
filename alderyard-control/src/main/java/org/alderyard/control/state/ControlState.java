package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.FieldFault;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.View;
import org.alderyard.control.log.StateMachine;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.control.DrainHostReply;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.PromotionIntentReply;
import org.alderyard.protocol.generated.control.ReplaceConfigurationReply;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.control.TicketFault;
import org.alderyard.protocol.generated.control.TicketVerdict;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.Host;
import org.alderyard.protocol.generated.state.HostPolicy;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewCodec;

/**
 * The control state that committed commands build; the same commands give the same state.
 *
 * <p>One lock guards all tables; the listener is called under it, so that it sees the views in
 * order.
 */
public final class ControlState implements StateMachine {
  private final Consumer<ViewChange> onChange;
  private final FailoverHandler failovers;
  private final ViewTable views = new ViewTable();
  // Guarded by this.
  private final TicketTable tickets;
  private final ServerRegistry servers = new ServerRegistry();
  private final HostRegistry hosts = new HostRegistry();

  /** Creates the empty state; the listener gets each new view, in order. */
  public ControlState(Consumer<ViewChange> onChange) {
    this(onChange, FailoverHandler.NONE, TicketTable.DEFAULT_LIMIT);
  }

  /** Creates the empty state with a handler of failover steps. */
  public ControlState(Consumer<ViewChange> onChange, FailoverHandler failovers) {
    this(onChange, failovers, TicketTable.DEFAULT_LIMIT);
  }

  /** All control hosts must remember the same count of numbers. */
  ControlState(Consumer<ViewChange> onChange, FailoverHandler failovers, int rememberedTickets) {
    this.onChange = onChange;
    this.failovers = failovers;
    this.tickets = new TicketTable(rememberedTickets);
  }

  /** Returns the current view. */
  public View view() {
    return views.view();
  }

  /** Returns the current view with its chain hash. */
  public synchronized ViewChange current() {
    return new ViewChange(views.view(), views.chainHash(), Optional.empty());
  }

  /** Returns the answer that a ticket got, if its number was accepted. */
  public synchronized Optional<TicketAnswer> ticket(long number) {
    return tickets.find(number);
  }

  /** Returns the answers to the highest numbers, the highest first. */
  public synchronized List<TicketAnswer> newestTickets(int count) {
    return tickets.newest(count);
  }

  /** Returns the highest number that is no longer remembered. */
  public synchronized long ticketFloor() {
    return tickets.floor();
  }

  /** Returns how many numbers are remembered. */
  public synchronized int ticketsRemembered() {
    return tickets.size();
  }

  /** Returns what a host registered, before the operators' policy is applied. */
  public synchronized Optional<Host> hostRegistration(String host) {
    return hosts.registration(host);
  }

  /** Returns the lease that a server asked for, 0 when it is not known. */
  public synchronized int serverLeaseMillis(String server) {
    return servers.leaseMillis(server);
  }

  @Override
  public synchronized ByteString apply(long index, ByteString bytes) {
    Command command;
    try {
      command = Command.parseFrom(bytes);
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.notRun(
          ErrorCode.STORAGE_DAMAGED, "log entry " + index + " can't be read");
    }
    return switch (command.getCommandCase()) {
      case TICKET -> applyTicket(index, command.getTicket()).toByteString();
      case ANNOUNCEMENT -> change(index, servers.announce(command.getAnnouncement(), view()));
      case SERVER_EXPIRY -> change(index, servers.expire(command.getServerExpiry(), view()));
      case HOST_REGISTRATION ->
          change(index, hosts.register(command.getHostRegistration().getHost()));
      case HOST_EXPIRY -> change(index, hosts.expire(command.getHostExpiry()));
      case DRAIN_HOST -> drain(index, command.getDrainHost()).toByteString();
      case FAILOVER_STEP -> {
        var applied = failovers.apply(index, command.getFailoverStep(), view());
        change(index, applied.changed());
        yield applied.answer();
      }
      case REPLACE_CONFIGURATION ->
          replaceConfiguration(index, command.getReplaceConfiguration()).toByteString();
      case PROMOTION_INTENT ->
          PromotionIntentReply.newBuilder().setFencingToken(index).build().toByteString();
      case COMMAND_NOT_SET -> ByteString.EMPTY;
    };
  }

  private TicketAnswer applyTicket(long index, Ticket ticket) {
    Optional<TicketAnswer> earlier = tickets.earlier(ticket.getNumber(), ticket.getContentHash());
    if (earlier.isPresent()) {
      return earlier.get();
    }
    TicketAnswer.Builder answer =
        TicketAnswer.newBuilder()
            .setNumber(ticket.getNumber())
            .setContentHash(ticket.getContentHash());
    List<FieldFault> faults = TicketRules.check(view(), hosts::known, ticket.getObjectsList());
    if (!faults.isEmpty()) {
      faults.forEach(fault -> answer.addFaults(message(fault)));
      return answer.setVerdict(TicketVerdict.INVALID).build();
    }
    List<ObjectState> changed = new ArrayList<>();
    ticket.getObjectsList().forEach(object -> changed.addAll(effect(object)));
    change(index, changed);
    ticket.getObjectsList().forEach(object -> answer.addObjects(TicketObjects.name(object)));
    answer.setAcceptedVersion(StateCodec.versionMessage(view().version()));
    tickets.accept(answer.build());
    return answer.build();
  }

  /**
   * The highest number counts. A lower one is answered like one that was taken and overtaken since,
   * which is what it is when its first answer was lost.
   */
  private ReplaceConfigurationReply replaceConfiguration(long index, Configuration wanted) {
    Optional<ConfigurationState> current = view().configuration();
    long number = current.map(ConfigurationState::number).orElse(0L);
    if (wanted.getNumber() <= number) {
      boolean conflict =
          wanted.getNumber() == number
              && !current
                  .orElseThrow()
                  .contentHash()
                  .equals(Bytes.of(wanted.getContentHash().toByteArray()));
      return ReplaceConfigurationReply.newBuilder().setNumber(number).setConflict(conflict).build();
    }
    ConfigurationState next = StateCodec.configuration(wanted);
    List<ObjectState> changed = new ArrayList<>();
    changed.add(ObjectState.newBuilder().setConfiguration(wanted).build());
    next.connectionsPerServer()
        .forEach((group, connections) -> changed.add(limitedGroup(group, connections)));
    current.stream()
        .flatMap(before -> before.connectionsPerServer().keySet().stream())
        .filter(group -> !next.connectionsPerServer().containsKey(group))
        .forEach(
            group -> changed.add(ObjectState.newBuilder().setRemovedGroup(group.value()).build()));
    change(index, changed);
    return ReplaceConfigurationReply.newBuilder().setNumber(wanted.getNumber()).build();
  }

  private ObjectState limitedGroup(GroupId id, int connections) {
    GroupState group =
        view()
            .group(id)
            .map(
                known ->
                    new GroupState(
                        id,
                        known.term(),
                        known.primary(),
                        known.termHistory(),
                        known.slotsPerServer(),
                        connections))
            .orElseGet(() -> new GroupState(id, 0, Optional.empty(), List.of(), 1, connections));
    return ObjectState.newBuilder()
        .setGroup(StateCodec.groupMessage(servers.withReportedPrimary(group, view())))
        .build();
  }

  /** Returns what a server that reports its role said last; empty for other servers. */
  public synchronized Optional<Boolean> reportedPrimary(String server) {
    return servers.reportedPrimary(server);
  }

  private static TicketFault message(FieldFault fault) {
    return TicketFault.newBuilder()
        .setObject(fault.object())
        .setField(fault.field())
        .setValue(fault.value())
        .setAccepted(fault.accepted())
        .build();
  }

  private List<ObjectState> effect(ObjectState object) {
    return switch (object.getObjectCase()) {
      case GROUP -> List.of(keepRunningState(object.getGroup()));
      case HOST_POLICY -> hosts.setPolicy(object.getHostPolicy());
      case REMOVED_HOST_POLICY -> hosts.removePolicy(object.getRemovedHostPolicy());
      case REMOVED_SERVER -> {
        servers.forget(object.getRemovedServer());
        yield List.of(object);
      }
      default -> List.of(object);
    };
  }

  /** A ticket says what a group is allowed; term and primary are the failover director's. */
  private ObjectState keepRunningState(Group wanted) {
    Group.Builder group = wanted.toBuilder();
    view()
        .group(new GroupId(wanted.getId()))
        .map(StateCodec::groupMessage)
        .ifPresent(
            running ->
                group
                    .setTerm(running.getTerm())
                    .setPrimary(running.getPrimary())
                    .addAllTermHistory(running.getTermHistoryList()));
    return ObjectState.newBuilder().setGroup(group).build();
  }

  private DrainHostReply drain(long index, DrainHostRequest request) {
    DrainHostReply.Builder reply = DrainHostReply.newBuilder();
    if (hosts.known(request.getHost())) {
      HostPolicy allowed =
          hosts.policy(request.getHost()).orElseGet(() -> allowAll(request.getHost())).toBuilder()
              .setDraining(request.getDraining())
              .build();
      change(index, hosts.setPolicy(allowed));
    } else {
      FieldFault fault =
          new FieldFault("host/" + request.getHost(), "name", request.getHost(), "a known host");
      reply.addFaults(message(fault));
    }
    return reply.setVersion(StateCodec.versionMessage(view().version())).build();
  }

  private static HostPolicy allowAll(String host) {
    return HostPolicy.newBuilder().setId(host).setProxy(true).setControl(true).build();
  }

  private ByteString change(long index, List<ObjectState> objects) {
    views
        .apply(index, objects)
        .ifPresent(
            delta ->
                onChange.accept(
                    new ViewChange(views.view(), views.chainHash(), Optional.of(delta))));
    return ByteString.EMPTY;
  }

  @Override
  public synchronized ByteString snapshot() {
    ControlSnapshot.Builder snapshot =
        ControlSnapshot.newBuilder()
            .setView(ViewCodec.snapshot(view()))
            .setChainHash(views.chainHash())
            .addAllTickets(tickets.all())
            .setTicketFloor(tickets.floor())
            .setFailover(failovers.snapshot());
    hosts.store(snapshot);
    servers.store(snapshot);
    return snapshot.build().toByteString();
  }

  @Override
  public synchronized void restore(long index, ByteString bytes) {
    ControlSnapshot snapshot;
    try {
      snapshot = ControlSnapshot.parseFrom(bytes);
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.notRun(
          ErrorCode.STORAGE_DAMAGED, "the snapshot at " + index + " can't be read");
    }
    views.restore(snapshot.getView(), snapshot.getChainHash());
    tickets.restore(snapshot.getTicketsList(), snapshot.getTicketFloor());
    hosts.restore(snapshot);
    servers.restore(snapshot);
    failovers.restore(snapshot.getFailover());
    onChange.accept(current());
  }
}
