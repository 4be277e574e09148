package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.View;
import org.alderyard.control.log.EntryRefusedException;
import org.alderyard.control.log.StateMachine;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.control.PromotionIntentReply;
import org.alderyard.protocol.generated.control.ReplaceConfigurationReply;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Host;
import org.alderyard.protocol.view.ViewCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deterministic state machine of the control state: the same commands give the same state.
 *
 * <p>One lock guards all tables. The listener is called with the lock held, so it receives the
 * views in order.
 */
public final class ControlState implements StateMachine {
  private static final Logger log = LoggerFactory.getLogger(ControlState.class);

  private final Consumer<ViewChange> onChange;
  private final FailoverHandler failovers;
  private final ViewTable views = new ViewTable();
  // Guarded by this.
  private final TicketTable tickets;
  private final ServerRegistry servers = new ServerRegistry();
  private final HostRegistry hosts = new HostRegistry();
  private final PromotionTable promotions = new PromotionTable();
  private final ConfigurationPlanner configurations = new ConfigurationPlanner(servers);
  private final OperatorCommands operatorCommands;
  private final LongAdder refusedEntries = new LongAdder();

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
    operatorCommands = new OperatorCommands(views, tickets, hosts, servers);
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
  public void check(ByteString bytes) {
    Command command = CommandValidator.parse(bytes);
    try {
      CommandValidator.check(command, failovers);
    } catch (RuntimeException reason) {
      throw CommandValidator.refusal(command, reason);
    }
  }

  /**
   * {@inheritDoc}
   *
   * <p>A command is planned first, which may fail and changes nothing, and carried out then.
   */
  @Override
  public synchronized ByteString apply(long index, ByteString bytes) {
    Command command;
    try {
      command = Command.parseFrom(bytes);
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.notRun(
          ErrorCode.STORAGE_DAMAGED, "log entry " + index + " can't be parsed");
    }
    Prepared prepared;
    try {
      CommandValidator.check(command, failovers);
      prepared = prepare(index, command);
    } catch (RuntimeException reason) {
      throw refuse(index, command, reason);
    }
    commit(prepared);
    return prepared.reply();
  }

  private EntryRefusedException refuse(long index, Command command, RuntimeException reason) {
    EntryRefusedException refusal = CommandValidator.refusal(command, reason);
    refusedEntries.increment();
    log.error(
        "event=entry-refused index={} kind={} reason=\"{}\"",
        index,
        command.getCommandCase(),
        refusal.getMessage(),
        // The stack of a failure that no check foresees.
        reason instanceof AlderyardException ? null : reason);
    return refusal;
  }

  /** Returns the number of log entries that this process did not apply as they are impossible. */
  public long refusedEntries() {
    return refusedEntries.sum();
  }

  private Prepared prepare(long index, Command command) {
    return switch (command.getCommandCase()) {
      case TICKET -> operatorCommands.ticket(index, command.getTicket());
      case ANNOUNCEMENT -> prepare(index, servers.announce(command.getAnnouncement(), view()));
      case SERVER_EXPIRY -> prepare(index, servers.expire(command.getServerExpiry(), view()));
      case HOST_REGISTRATION ->
          prepare(index, hosts.register(command.getHostRegistration().getHost()));
      case HOST_EXPIRY -> prepare(index, hosts.expire(command.getHostExpiry()));
      case DRAIN_HOST -> operatorCommands.drain(index, command.getDrainHost());
      case FAILOVER_STEP -> prepareStep(index, command.getFailoverStep());
      case REPLACE_CONFIGURATION -> prepareConfiguration(index, command.getReplaceConfiguration());
      case PROMOTION_INTENT ->
          prepare(
              index,
              promotions.add(index, command.getPromotionIntent(), view()),
              PromotionIntentReply.newBuilder().setFencingToken(index).build());
      case PROMOTION_WITHDRAWAL ->
          prepare(index, promotions.withdraw(command.getPromotionWithdrawal()));
      case REPLICA_CAUGHT_UP ->
          prepare(
              index,
              new Plan()
                  .effect(() -> servers.restarts().recordCaughtUp(command.getReplicaCaughtUp())));
      case COMMAND_NOT_SET -> prepare(index, new Plan());
    };
  }

  private Prepared prepare(long index, Plan plan) {
    return new Prepared(views.prepare(index, plan.objects()), plan, ByteString.EMPTY);
  }

  private Prepared prepare(long index, Plan plan, MessageLite reply) {
    return new Prepared(views.prepare(index, plan.objects()), plan, reply.toByteString());
  }

  private void commit(Prepared prepared) {
    prepared.plan().commit();
    prepared.next().ifPresent(this::publish);
  }

  private void publish(ViewTable.Next next) {
    views.commit(next);
    notifyListener(new ViewChange(next.view(), views.chainHash(), Optional.of(next.delta())));
  }

  /** A listener that fails must not stop the log: the entry is applied already. */
  private void notifyListener(ViewChange change) {
    try {
      onChange.accept(change);
    } catch (RuntimeException failure) {
      log.error("event=view-listener-failed version={}", change.view().version(), failure);
    }
  }

  private Prepared prepareStep(long index, ByteString step) {
    FailoverHandler.ApplyResult result = failovers.apply(index, step, view());
    Plan plan = new Plan().change(result.changed()).effect(result.commit());
    return new Prepared(views.prepare(index, plan.objects()), plan, result.reply());
  }

  private Prepared prepareConfiguration(long index, Configuration requested) {
    return configurations
        .replyWithoutEffect(requested, view())
        .map(reply -> prepare(index, new Plan(), reply))
        .orElseGet(
            () ->
                prepare(
                    index,
                    configurations.replace(requested, view()),
                    ReplaceConfigurationReply.newBuilder()
                        .setNumber(requested.getNumber())
                        .build()));
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
    notifyListener(current());
  }
}
