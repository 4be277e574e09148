package org.alderyard.control.service;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerState;
import org.alderyard.control.log.ControlLog;
import org.alderyard.control.state.ControlState;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.SubmitTicketRequest;
import org.alderyard.protocol.wire.Dispatcher;

/**
 * Serves the control methods of the inner protocol: tickets, announcements, heartbeats,
 * configurations and views.
 */
public final class ControlService {
  private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(100);

  private final ControlState state;
  private final TicketService tickets;
  private final RegistryService registry;
  private final ViewService views;
  private final ConfigurationService configurations;

  /**
   * Creates a service that proposes commands to a log and answers from the state that the log
   * builds.
   */
  public ControlService(
      ControlLog controlLog,
      ControlState state,
      ViewFeed feed,
      MonotonicClock clock,
      InstantSource wallClock) {
    this.state = state;
    Proposer proposer = new Proposer(controlLog, wallClock);
    registry = new RegistryService(controlLog, state, proposer, clock);
    tickets = new TicketService(controlLog, state, proposer, registry.leases());
    views = new ViewService(controlLog, state, feed);
    configurations = new ConfigurationService(controlLog, state, proposer);
  }

  /** Registers the methods of this service at a dispatcher. */
  public void serve(Dispatcher dispatcher) {
    dispatcher
        .serve(ControlMethods.SUBMIT_TICKET, (peer, request) -> submit(request))
        .serve(ControlMethods.TICKET_STATUS, (peer, request) -> tickets.status(request))
        .serve(ControlMethods.ANNOUNCE, (peer, request) -> registry.announce(request))
        .serve(ControlMethods.FETCH_VIEW, (peer, request) -> views.fetch(request))
        .serve(ControlMethods.HEARTBEAT, (peer, request) -> registry.heartbeat(request))
        .serve(ControlMethods.STATUS, (peer, request) -> tickets.controlStatus())
        .serve(ControlMethods.DRAIN_HOST, (peer, request) -> tickets.drain(request))
        .serve(
            ControlMethods.REPLACE_CONFIGURATION,
            (peer, request) -> configurations.replace(request))
        .serve(
            ControlMethods.FETCH_CONFIGURATION, (peer, request) -> configurations.fetch(request));
  }

  /** Sets what decides whether an announcement of a server may be confirmed. */
  public void admitReplicasBy(ReplicaAdmission admission) {
    registry.admitBy(admission);
  }

  /** Starts the periodic check for expired leases. */
  public void start(WorkerPool workers) {
    workers.scheduleRepeatedly(LEASE_CHECK_INTERVAL, registry::expireLeases);
  }

  /** Proposes a ticket to the control log. */
  public CompletableFuture<SubmitTicketReply> submit(SubmitTicketRequest request) {
    return tickets.submit(request);
  }

  /**
   * Returns whether this host, as the leader, has received an announcement of this incarnation of a
   * server after the given time of its monotonic clock.
   */
  public boolean isAnnouncedSince(ServerState server, long millis) {
    return registry.leases().isAnnouncedSince(server, millis);
  }

  /** Returns the control state that requests are answered from. */
  public ControlState state() {
    return state;
  }

  RegistryService registry() {
    return registry;
  }

  ViewService views() {
    return views;
  }

  TicketService tickets() {
    return tickets;
  }

  ConfigurationService configurations() {
    return configurations;
  }
}
