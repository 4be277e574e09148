package org.alderyard.proxy.lease;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.View;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.generated.grant.ConnectionDemand;
import org.alderyard.protocol.generated.grant.ConnectionGrant;
import org.alderyard.protocol.generated.grant.RenewGrantsReply;
import org.alderyard.protocol.generated.grant.RenewGrantsRequest;
import org.alderyard.protocol.grant.GrantMethods;
import org.alderyard.proxy.pool.ConnectionPools;
import org.alderyard.proxy.pool.PoolUse;
import org.alderyard.proxy.view.ViewHolder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Renews the connection leases of this proxy and applies them to its connection pools. */
public final class LeaseClient {
  private static final Logger log = LoggerFactory.getLogger(LeaseClient.class);

  /** The default interval between renewals. */
  public static final Duration DEFAULT_INTERVAL = Duration.ofMillis(500);

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final ControlClient control;
  private final HostState self;
  private final ViewHolder views;
  private final LeaseTable leases;
  private final ConnectionPools<?> pools;
  private final ConnectionTarget target;
  private final AtomicLong sequence = new AtomicLong();
  private volatile Runnable grantListener = () -> {};
  private final AtomicBoolean requestPending = new AtomicBoolean();

  /**
   * Creates a client that is inactive until {@link #start(WorkerPool)} is called.
   *
   * @param target determines how many connections this proxy requests
   */
  public LeaseClient(
      ControlClient control,
      HostState self,
      ViewHolder views,
      LeaseTable leases,
      ConnectionPools<?> pools,
      ConnectionTarget target) {
    this.control = Objects.requireNonNull(control);
    this.self = Objects.requireNonNull(self);
    this.views = Objects.requireNonNull(views);
    this.leases = Objects.requireNonNull(leases);
    this.pools = Objects.requireNonNull(pools);
    this.target = Objects.requireNonNull(target);
  }

  /** Sets a listener that is called after each reply with grants. */
  public void onGrants(Runnable listener) {
    grantListener = listener;
  }

  /** Starts renewing leases at the default interval. */
  public void start(WorkerPool workers) {
    start(workers, DEFAULT_INTERVAL);
  }

  /** Starts renewing leases at the given interval. */
  public void start(WorkerPool workers, Duration interval) {
    workers.execute(this::renew);
    workers.scheduleRepeatedly(interval, this::renew);
  }

  private void renew() {
    View view = views.current();
    leases.retain(view.servers().keySet());
    target.retain(view.servers().keySet());
    pools.enforceAllowances(view.servers().values());
    // A second request would invalidate the reply to the first one.
    if (view.servers().isEmpty() || !requestPending.compareAndSet(false, true)) {
      return;
    }
    long requestNumber = sequence.incrementAndGet();
    RenewGrantsRequest.Builder request =
        RenewGrantsRequest.newBuilder()
            .setHost(self.id().value())
            .setIncarnation(self.incarnation())
            .setSequence(requestNumber);
    for (ServerState server : view.servers().values()) {
      demand(server, requestNumber).ifPresent(request::addDemands);
    }
    if (request.getDemandsCount() == 0) {
      requestPending.set(false);
      return;
    }
    control
        .callIdempotent(GrantMethods.RENEW_GRANTS, request.build(), CALL_TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              requestPending.set(false);
              if (failure == null) {
                accept(reply);
              } else {
                log.warn(
                    "event=lease-renewal-failed reason={}",
                    Futures.toAlderyardException(failure).code());
              }
            });
  }

  /**
   * Returns the demand for connections to a server, or empty if this host has no connections to it,
   * holds no lease for it and needs none.
   */
  private Optional<ConnectionDemand> demand(ServerState server, long requestNumber) {
    PoolUse use = pools.takeUse(server.id());
    int targetConnections = target.targetConnections(server.id(), use);
    if (targetConnections == 0 && use.open() == 0 && leases.hasNoLease(server.id())) {
      return Optional.empty();
    }
    return Optional.of(
        ConnectionDemand.newBuilder()
            .setServer(server.id().value())
            .setHeld(leases.request(server.id(), requestNumber, use.open()))
            .setWanted(targetConnections)
            .setUseful(Math.max(0, use.activeOwners() - targetConnections))
            .build());
  }

  private void accept(RenewGrantsReply reply) {
    long leaseNanos = TimeUnit.MILLISECONDS.toNanos(reply.getLeaseMillis());
    for (ConnectionGrant grant : reply.getGrantsList()) {
      ServerId server = new ServerId(grant.getServer());
      leases.reply(server, reply.getSequence(), grant.getConnections(), leaseNanos);
    }
    pools.enforceAllowances(views.current().servers().values());
    if (reply.getGrantsCount() > 0) {
      grantListener.run();
    }
  }
}
