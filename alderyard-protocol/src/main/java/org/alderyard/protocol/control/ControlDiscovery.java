package org.alderyard.protocol.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.control.FindControlHostsReply;
import org.alderyard.protocol.generated.control.FindControlHostsRequest;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.PeerLinks;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Discovers the control hosts through the seeds, which may be any hosts.
 *
 * <p>Views name the control hosts. Before the first view, and while no control host answers, this
 * host queries the seeds and all known control hosts for the control hosts that they know. Control
 * hosts announce themselves to the seeds.
 *
 * <p>Without these announcements, a simultaneous start of all hosts would never complete if no seed
 * is a control host: the seeds would know no control host, and all hosts would query the seeds
 * forever.
 */
public final class ControlDiscovery {
  private static final Logger log = LoggerFactory.getLogger(ControlDiscovery.class);
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  /** A control host announces itself to the seeds every 2 s, even while it is connected. */
  private static final int ROUNDS_PER_ANNOUNCEMENT = 4;

  private final ControlHosts hosts;
  private final PeerLinks links;
  private final WorkerPool workers;
  private final BooleanSupplier connected;
  private final Supplier<List<InetSocketAddress>> confirmed;
  private int round;

  /**
   * Creates the discovery, which keeps the given list up to date.
   *
   * @param connected whether the known control hosts answer
   * @param confirmed the control hosts that this host knows for certain because it is one of them;
   *     empty on other hosts
   */
  public ControlDiscovery(
      ControlHosts hosts,
      PeerLinks links,
      WorkerPool workers,
      BooleanSupplier connected,
      Supplier<List<InetSocketAddress>> confirmed) {
    this.hosts = hosts;
    this.links = links;
    this.workers = workers;
    this.connected = connected;
    this.confirmed = confirmed;
  }

  /** Registers the method by which other hosts query this host. */
  public void serve(Dispatcher dispatcher) {
    dispatcher.serve(
        ControlMethods.FIND_CONTROL_HOSTS,
        (peer, request) -> CompletableFuture.completedFuture(answer(request)));
  }

  FindControlHostsReply answer(FindControlHostsRequest request) {
    hosts.add(request.getControlHostsList().stream().map(StateCodec::address).toList());
    return FindControlHostsReply.newBuilder()
        .addAllControlHosts(hosts.addresses().stream().map(StateCodec::endpointMessage).toList())
        .build();
  }

  /**
   * Starts the periodic discovery. It sends queries only while no control host answers, apart from
   * the announcements of a control host.
   */
  public void start() {
    workers.scheduleRepeatedly(INTERVAL, this::discover);
  }

  /** Updates the known control hosts from the hosts of a view. */
  public void onViewChange(Collection<HostState> all) {
    List<InetSocketAddress> control =
        all.stream().filter(HostState::control).map(HostState::innerAddress).toList();
    hosts.replace(control);
  }

  private void discover() {
    List<InetSocketAddress> confirmedHosts = confirmed.get();
    hosts.add(confirmedHosts);
    boolean announces = !confirmedHosts.isEmpty() && round++ % ROUNDS_PER_ANNOUNCEMENT == 0;
    if (connected.getAsBoolean() && !announces) {
      return;
    }
    FindControlHostsRequest request =
        FindControlHostsRequest.newBuilder()
            .addAllControlHosts(confirmedHosts.stream().map(StateCodec::endpointMessage).toList())
            .build();
    Set<InetSocketAddress> recipients = new LinkedHashSet<>(hosts.configuredAddresses());
    recipients.addAll(hosts.addresses());
    for (InetSocketAddress address : recipients) {
      links
          .linkTo(address)
          .call(ControlMethods.FIND_CONTROL_HOSTS, request, CALL_TIMEOUT)
          .thenAccept(reply -> onReply(address, reply));
    }
  }

  private void onReply(InetSocketAddress from, FindControlHostsReply reply) {
    List<InetSocketAddress> known =
        reply.getControlHostsList().stream().map(StateCodec::address).toList();
    log.debug("event=control-hosts-heard from={} hosts={}", from, known);
    hosts.add(known);
  }
}
