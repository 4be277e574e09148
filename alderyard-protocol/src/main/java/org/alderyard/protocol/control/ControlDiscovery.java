package org.alderyard.protocol.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
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
 * Finds the control hosts through the seeds, which may be any hosts.
 *
 * <p>Views name them; before the first view, and while none of them answers, the seeds and all
 * control hosts that are known are asked whom they know.
 */
public final class ControlDiscovery {
  private static final Logger log = LoggerFactory.getLogger(ControlDiscovery.class);
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final ControlHosts hosts;
  private final PeerLinks links;
  private final WorkerPool workers;
  private final BooleanSupplier connected;

  /**
   * Keeps the given list up to date.
   *
   * @param connected whether the control hosts that are known answer
   */
  public ControlDiscovery(
      ControlHosts hosts, PeerLinks links, WorkerPool workers, BooleanSupplier connected) {
    this.hosts = hosts;
    this.links = links;
    this.workers = workers;
    this.connected = connected;
  }

  /** Adds the method by which others ask this host. */
  public void serve(Dispatcher dispatcher) {
    dispatcher.serve(
        ControlMethods.FIND_CONTROL_HOSTS,
        (peer, request) ->
            CompletableFuture.completedFuture(
                FindControlHostsReply.newBuilder()
                    .addAllControlHosts(
                        hosts.addresses().stream().map(StateCodec::endpointMessage).toList())
                    .build()));
  }

  /** Starts to ask while no view comes. */
  public void start() {
    workers.scheduleRepeatedly(INTERVAL, this::ask);
  }

  /** Takes the hosts of a view. */
  public void learn(Collection<HostState> all) {
    List<InetSocketAddress> control =
        all.stream().filter(HostState::control).map(HostState::innerAddress).toList();
    hosts.replace(control);
  }

  private void ask() {
    if (connected.getAsBoolean()) {
      return;
    }
    Set<InetSocketAddress> asked = new LinkedHashSet<>(hosts.listed());
    asked.addAll(hosts.addresses());
    for (InetSocketAddress address : asked) {
      links
          .to(address)
          .call(
              ControlMethods.FIND_CONTROL_HOSTS,
              FindControlHostsRequest.getDefaultInstance(),
              CALL_TIMEOUT)
          .thenAccept(reply -> heard(address, reply));
    }
  }

  private void heard(InetSocketAddress from, FindControlHostsReply reply) {
    List<InetSocketAddress> known =
        reply.getControlHostsList().stream().map(StateCodec::address).toList();
    log.debug("event=control-hosts-heard from={} hosts={}", from, known);
    hosts.add(known);
  }
}
