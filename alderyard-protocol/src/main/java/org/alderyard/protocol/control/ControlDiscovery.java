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
 * Finds the control hosts through the seeds, which may be any hosts.
 *
 * <p>Views name them; before the first view, and while none of them answers, the seeds and all
 * control hosts that are known are asked whom they know. Control hosts tell the seeds of
 * themselves.
 *
 * <p>That guards against a start of all hosts at once with seeds that are no control hosts: these
 * know nobody, and each host would ask them for ever.
 */
public final class ControlDiscovery {
  private static final Logger log = LoggerFactory.getLogger(ControlDiscovery.class);
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  /** A control host tells the seeds of itself every 2 s, also when it needs nothing of them. */
  private static final int TELLING_ROUNDS = 4;

  private final ControlHosts hosts;
  private final PeerLinks links;
  private final WorkerPool workers;
  private final BooleanSupplier connected;
  private final Supplier<List<InetSocketAddress>> certain;
  private int rounds;

  /**
   * Keeps the given list up to date.
   *
   * @param connected whether the control hosts that are known answer
   * @param certain the control hosts that this host is sure of, as it is one itself
   */
  public ControlDiscovery(
      ControlHosts hosts,
      PeerLinks links,
      WorkerPool workers,
      BooleanSupplier connected,
      Supplier<List<InetSocketAddress>> certain) {
    this.hosts = hosts;
    this.links = links;
    this.workers = workers;
    this.connected = connected;
    this.certain = certain;
  }

  /** Adds the method by which others ask this host. */
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
    List<InetSocketAddress> sure = certain.get();
    hosts.add(sure);
    boolean tells = !sure.isEmpty() && rounds++ % TELLING_ROUNDS == 0;
    if (connected.getAsBoolean() && !tells) {
      return;
    }
    FindControlHostsRequest request =
        FindControlHostsRequest.newBuilder()
            .addAllControlHosts(sure.stream().map(StateCodec::endpointMessage).toList())
            .build();
    Set<InetSocketAddress> asked = new LinkedHashSet<>(hosts.listed());
    asked.addAll(hosts.addresses());
    for (InetSocketAddress address : asked) {
      links
          .to(address)
          .call(ControlMethods.FIND_CONTROL_HOSTS, request, CALL_TIMEOUT)
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
