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
import org.alderyard.common.id.ServerId;
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
 * Deterministic state machine of the control state: the same commands give the same state.
 *
 * <p>One lock guards all tables. The listener is called with the lock held, so it receives the
 * views in order.
 */
public final class ControlState implements StateMachine {
  private final Consumer<ViewChange> onChange;
  private final FailoverHandler failovers;
  private final ViewTable views = new ViewTable();
  // Guarded by this.
  private final TicketTable tickets;
  private final ServerRegistry servers = new ServerRegistry();
  private final HostRegistry hosts = new HostRegistry();
  private final PromotionTable promotions = new PromotionTable();

  /**
   * Creates an empty state.
   *
   * @param onChange receives each new view, in order, with the lock held
   */
  public ControlState(Consumer<ViewChange> onChange) {
    this(onChange, FailoverHandler.NONE, TicketTable.DEFAULT_MAX_TICKETS);
  }

  /** Creates an empty state that passes failover steps to the given handler. */
  public ControlState(Consumer<ViewChange> onChange, FailoverHandler failovers) {
    this(onChange, failovers, TicketTable.DEFAULT_MAX_TICKETS);
  }

  /**
   * Creates an empty state with a given size of the ticket table, which must be the same on all
   * control hosts.
   */
  ControlState(Consumer<ViewChange> onChange, FailoverHandler failovers, int maxTickets) {
    this.onChange = onChange;
    this.failovers = failovers;
    this.tickets = new TicketTable(maxTickets);
  }

  /** Returns the current view; doesn't take the lock. */
  public View view() {
    return views.view();
  }

  /** Returns the current view with its chain hash. */
  public synchronized ViewChange current() {
    return new ViewChange(views.view(), views.chainHash(), Optional.empty());
  }

  /** Returns the answer to an accepted ticket; empty when the number is not in the ticket table. */
  public synchronized Optional<TicketAnswer> ticket(long number) {
    return tickets.find(number);
  }

  /** Returns the answers to the highest ticket numbers, in descending order. */
  public synchronized List<TicketAnswer> newestTickets(int count) {
    return tickets.highestNumbers(count);
  }

  /**
   * Returns the floor: ticket numbers up to it are no longer in the table and are never applied.
   */
  public synchronized long ticketFloor() {
    return tickets.floor();
  }

  /** Returns the number of tickets in the table. */
  public synchronized int ticketsRemembered() {
    return tickets.size();
  }

  /** Returns the registration of a host, without the restrictions of the operators' host policy. */
  public synchronized Optional<Host> hostRegistration(String host) {
    return hosts.registration(host);
  }

  /** Returns the lease duration that a server requested, or 0 for an unknown server. */
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
          ErrorCode.STORAGE_DAMAGED, "log entry " + index + " can't be parsed");
    }
    return switch (command.getCommandCase()) {
      case TICKET -> applyTicket(index, command.getTicket()).toByteString();
      case ANNOUNCEMENT -> applyChanges(index, servers.announce(command.getAnnouncement(), view()));
      case SERVER_EXPIRY -> applyChanges(index, servers.expire(command.getServerExpiry(), view()));
      case HOST_REGISTRATION ->
          applyChanges(index, hosts.register(command.getHostRegistration().getHost()));
      case HOST_EXPIRY -> applyChanges(index, hosts.expire(command.getHostExpiry()));
      case DRAIN_HOST -> applyDrain(index, command.getDrainHost()).toByteString();
      case FAILOVER_STEP -> {
        var result = failovers.apply(index, command.getFailoverStep(), view());
        applyChanges(index, result.changed());
        yield result.reply();
      }
      case REPLACE_CONFIGURATION ->
          applyConfiguration(index, command.getReplaceConfiguration()).toByteString();
      case PROMOTION_INTENT -> {
        promotions.add(index, command.getPromotionIntent(), view());
        yield PromotionIntentReply.newBuilder().setFencingToken(index).build().toByteString();
      }
      case PROMOTION_WITHDRAWAL -> {
        promotions.withdraw(command.getPromotionWithdrawal());
        yield ByteString.EMPTY;
      }
      case REPLICA_CAUGHT_UP -> {
        servers.restarts().recordCaughtUp(command.getReplicaCaughtUp());
        yield ByteString.EMPTY;
      }
      case COMMAND_NOT_SET -> ByteString.EMPTY;
    };
  }

  private TicketAnswer applyTicket(long index, Ticket ticket) {
    Optional<TicketAnswer> previous =
        tickets.findPreviousAnswer(ticket.getNumber(), ticket.getContentHash());
    if (previous.isPresent()) {
      return previous.get();
    }
    TicketAnswer.Builder answer =
        TicketAnswer.newBuilder()
            .setNumber(ticket.getNumber())
            .setContentHash(ticket.getContentHash());
    List<FieldFault> faults =
        TicketValidator.check(view(), hosts::isKnown, ticket.getObjectsList());
    if (!faults.isEmpty()) {
      faults.forEach(fault -> answer.addFaults(faultMessage(fault)));
      return answer.setVerdict(TicketVerdict.INVALID).build();
    }
    List<ObjectState> changed = new ArrayList<>();
    ticket.getObjectsList().forEach(object -> changed.addAll(applyObject(object)));
    applyChanges(index, changed);
    ticket.getObjectsList().forEach(object -> answer.addObjects(TicketObjects.name(object)));
    answer.setAcceptedVersion(StateCodec.versionMessage(view().version()));
    tickets.add(answer.build());
    return answer.build();
  }

  /**
   * Applies a configuration with a number greater than the current one.
   *
   * <p>A lower number is acknowledged without effect, like a configuration that was applied and
   * then replaced: the request may be a resend whose first reply was lost.
   */
  private ReplaceConfigurationReply applyConfiguration(long index, Configuration requested) {
    Optional<ConfigurationState> current = view().configuration();
    long number = current.map(ConfigurationState::number).orElse(0L);
    if (requested.getNumber() <= number) {
      boolean conflict =
          requested.getNumber() == number
              && !current
                  .orElseThrow()
                  .contentHash()
                  .equals(Bytes.of(requested.getContentHash().toByteArray()));
      return ReplaceConfigurationReply.newBuilder().setNumber(number).setConflict(conflict).build();
    }
    ConfigurationState next = StateCodec.configuration(requested);
    List<ObjectState> changed = new ArrayList<>();
    changed.add(ObjectState.newBuilder().setConfiguration(requested).build());
    next.connectionsPerServer()
        .forEach((group, connections) -> changed.add(withConnectionLimit(group, connections)));
    current.stream()
        .flatMap(before -> before.connectionsPerServer().keySet().stream())
        .filter(group -> !next.connectionsPerServer().containsKey(group))
        .forEach(
            group -> changed.add(ObjectState.newBuilder().setRemovedGroup(group.value()).build()));
    applyChanges(index, changed);
    return ReplaceConfigurationReply.newBuilder().setNumber(requested.getNumber()).build();
  }

  private ObjectState withConnectionLimit(GroupId id, int connections) {
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

  /**
   * Returns whether the server last reported that it is the primary; empty for servers that don't
   * report their role.
   */
  public synchronized Optional<Boolean> reportsPrimaryRole(String server) {
    return servers.reportsPrimaryRole(server);
  }

  /**
   * Returns the server that a call of this or an earlier leader may still promote; empty once the
   * group has another primary. Doesn't take the lock.
   */
  public Optional<ServerId> pendingPromotion(GroupId group) {
    return promotions.find(group, view());
  }

  /**
   * Returns whether a server started again since it may have acknowledged commits, and is not known
   * to hold the log of its primary. Doesn't take the lock.
   */
  public boolean mayLackCommits(ServerId server) {
    return servers.restarts().mayLackCommits(server);
  }

  private static TicketFault faultMessage(FieldFault fault) {
    return TicketFault.newBuilder()
        .setObject(fault.object())
        .setField(fault.field())
        .setValue(fault.value())
        .setAccepted(fault.accepted())
        .build();
  }

  private List<ObjectState> applyObject(ObjectState object) {
    return switch (object.getObjectCase()) {
      case GROUP -> List.of(withTermAndPrimary(object.getGroup()));
      case HOST_POLICY -> hosts.setPolicy(object.getHostPolicy());
      case REMOVED_HOST_POLICY -> hosts.removePolicy(object.getRemovedHostPolicy());
      case REMOVED_SERVER -> {
        servers.remove(object.getRemovedServer());
        yield List.of(object);
      }
      default -> List.of(object);
    };
  }

  /**
   * Returns the group with its current term, primary and term history. A ticket sets only the
   * limits of a group; the failover director manages its term and primary.
   */
  private ObjectState withTermAndPrimary(Group requested) {
    Group.Builder group = requested.toBuilder();
    view()
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

  private DrainHostReply applyDrain(long index, DrainHostRequest request) {
    DrainHostReply.Builder reply = DrainHostReply.newBuilder();
    if (hosts.isKnown(request.getHost())) {
      HostPolicy policy =
          hosts
              .policy(request.getHost())
              .orElseGet(() -> unrestrictedPolicy(request.getHost()))
              .toBuilder()
              .setDraining(request.getDraining())
              .build();
      applyChanges(index, hosts.setPolicy(policy));
    } else {
      FieldFault fault =
          new FieldFault("host/" + request.getHost(), "name", request.getHost(), "a known host");
      reply.addFaults(faultMessage(fault));
    }
    return reply.setVersion(StateCodec.versionMessage(view().version())).build();
  }

  private static HostPolicy unrestrictedPolicy(String host) {
    return HostPolicy.newBuilder().setId(host).setProxy(true).setControl(true).build();
  }

  private ByteString applyChanges(long index, List<ObjectState> objects) {
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
    promotions.store(snapshot);
    return snapshot.build().toByteString();
  }

  @Override
  public synchronized void restore(long index, ByteString bytes) {
    ControlSnapshot snapshot;
    try {
      snapshot = ControlSnapshot.parseFrom(bytes);
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.notRun(
          ErrorCode.STORAGE_DAMAGED, "the snapshot at index " + index + " can't be parsed");
    }
    views.restore(snapshot.getView(), snapshot.getChainHash());
    tickets.restore(snapshot.getTicketsList(), snapshot.getTicketFloor());
    hosts.restore(snapshot);
    servers.restore(snapshot);
    promotions.restore(snapshot);
    failovers.restore(snapshot.getFailover());
    onChange.accept(current());
  }
}
