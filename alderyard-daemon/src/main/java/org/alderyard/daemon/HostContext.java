package org.alderyard.daemon;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import javax.net.ssl.SSLContext;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.http.HttpPort;
import org.alderyard.common.start.StartLog;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.control.ControlHosts;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.EventLoops;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.protocol.wire.ProtocolOptions;
import org.alderyard.proxy.view.ViewClient;
import org.alderyard.proxy.view.ViewHolder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Resources shared by the components of one daemon process; closes registered components in reverse
 * order of registration.
 */
final class HostContext implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(HostContext.class);

  /**
   * Equals the time that a request waits, so that a host that accepts no connection delays a
   * request no longer than that.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /**
   * Connect timeout of statement links and of connections that other hosts open. A shorter timeout
   * made slow hosts restart handshakes repeatedly while all hosts were starting.
   */
  private static final Duration LONG_CONNECT_TIMEOUT = Duration.ofSeconds(3);

  private static final int MAX_OUTSTANDING_REQUESTS = 4_096;

  /** Two threads, so that one can work while the other one waits for a lock or the disk. */
  private static final int CONTROL_THREADS = 2;

  /**
   * Property of the metrics library. Exemplars need trace contexts, which this program does not
   * have; for each sampled value their scheduler wakes a thread.
   */
  private static final String EXEMPLARS_ENABLED = "io.prometheus.metrics.exemplars_enabled";

  static {
    if (System.getProperty(EXEMPLARS_ENABLED) == null) {
      System.setProperty(EXEMPLARS_ENABLED, "false");
    }
  }

  final DaemonSettings settings;
  final StartLog startLog;
  final MonotonicClock clock = MonotonicClock.system();
  final InstantSource wallClock = InstantSource.system();
  final PrometheusRegistry registry = new PrometheusRegistry();
  final Dispatcher dispatcher = new Dispatcher();
  final ViewHolder views = new ViewHolder();
  final CompletableFuture<AlderyardException> failure = new CompletableFuture<>();
  final WorkerPool workers;

  /**
   * Runs host-to-host work: heartbeats, announcements, leases and the control log.
   *
   * <p>On the worker pool, heartbeats and announcements queued behind callers' statements under
   * load; servers and hosts then lost their leases, and groups had no primary. Hosts whose callers
   * open sessions use the worker pool for this work too.
   */
  final WorkerPool controlWorkers;

  final EventLoops loops;
  final ProtocolOptions protocol;
  final ProtocolOptions longTimeoutProtocol;
  final PeerLinks links;

  /**
   * Links for callers' statements, separate so that host-to-host messages never queue behind a
   * statement.
   */
  final PeerLinks statementLinks;

  final ControlHosts controlHosts;
  final ControlClient control;
  final HostState self;
  final ViewClient viewClient;
  // Guarded by this; the most recently registered component is first.
  private final Deque<AutoCloseable> components = new ArrayDeque<>();
  private Optional<XnioWorker> ioWorker = Optional.empty();

  HostContext(DaemonSettings settings, StartLog startLog) {
    this.settings = settings;
    this.startLog = startLog;
    LogOptions.registerDroppedCounter(registry);
    workers = register(new WorkerPool("worker", settings.workerThreads()));
    controlWorkers =
        settings.sessions().isPresent()
            ? workers
            : register(new WorkerPool("control", CONTROL_THREADS));
    loops = register(new EventLoops(settings.innerThreads()));
    long incarnation = wallClock.millis();
    protocol =
        new ProtocolOptions(
            settings.clusterId(),
            settings.host(),
            incarnation,
            settings.clusterKey(),
            CONNECT_TIMEOUT,
            MAX_OUTSTANDING_REQUESTS);
    longTimeoutProtocol = protocol.withConnectTimeout(LONG_CONNECT_TIMEOUT);
    links = register(new PeerLinks(loops, protocol));
    statementLinks = register(new PeerLinks(loops, longTimeoutProtocol));
    controlHosts =
        new ControlHosts(
            initialControlHosts(), settings.discovery().map(DiscoveryOptions::voters).orElse(0));
    control = new ControlClient(links, controlHosts::addresses, controlWorkers);
    self =
        new HostState(
            settings.host(),
            incarnation,
            settings.zone(),
            settings.innerAddress(),
            settings.callerAddress(),
            settings.roles().contains(Role.PROXY),
            settings.roles().contains(Role.CONTROL),
            false);
    ControlClient viewSources =
        new ControlClient(
            register(new PeerLinks(loops, protocol)), controlHosts::addresses, controlWorkers);
    viewClient =
        new ViewClient(control, viewSources, self, views, controlWorkers, clock, wallClock);
    registerViewCounters();
  }

  private void registerViewCounters() {
    CounterWithCallback.builder()
        .name("alderyard_views_unreadable_total")
        .help("Replies of control hosts whose view could not be read.")
        .callback(callback -> callback.call(viewClient.unreadableViews()))
        .register(registry);
    CounterWithCallback.builder()
        .name("alderyard_view_listener_failures_total")
        .help("Failures of a part of this host to take over a view.")
        .callback(callback -> callback.call(views.failedListeners()))
        .register(registry);
  }

  private List<InetSocketAddress> initialControlHosts() {
    return settings.discovery().map(DiscoveryOptions::seeds).orElse(settings.controlHosts());
  }

  /** Registers a component; components are closed in reverse order of registration. */
  synchronized <T extends AutoCloseable> T register(T component) {
    components.push(component);
    return component;
  }

  private synchronized Optional<AutoCloseable> pollComponent() {
    return Optional.ofNullable(components.poll());
  }

  /**
   * Returns the I/O worker of the HTTP ports and starts it on the first call.
   *
   * <p>Starting the worker also initializes the management beans of the Java runtime and takes a
   * fifth of the processor time of a host's start, so it is deferred until callers can be served.
   */
  synchronized XnioWorker ioWorker() {
    if (ioWorker.isEmpty()) {
      ioWorker = Optional.of(newIoWorker(settings.ioThreads()));
    }
    return ioWorker.get();
  }

  /**
   * Creates an I/O worker with one thread that is used only for connections to backend servers.
   *
   * <p>On threads shared with callers, responses of servers queued behind callers' requests, and a
   * server under load appeared unreachable.
   */
  XnioWorker newServerIoWorker() {
    return newIoWorker(1);
  }

  private XnioWorker newIoWorker(int ioThreads) {
    try {
      XnioWorker worker =
          Xnio.getInstance()
              .createWorker(
                  OptionMap.builder()
                      .set(Options.WORKER_IO_THREADS, ioThreads)
                      .set(Options.WORKER_TASK_CORE_THREADS, 1)
                      .set(Options.WORKER_TASK_MAX_THREADS, settings.workerThreads())
                      .set(Options.TCP_NODELAY, true)
                      .set(Options.THREAD_DAEMON, true)
                      .getMap());
      register(worker::shutdownNow);
      return worker;
    } catch (IOException startFailure) {
      throw new UncheckedIOException(startFailure);
    }
  }

  /** Opens an HTTP port on the shared I/O worker; the port uses TLS if {@code tls} is present. */
  HttpPort openPort(
      String name, InetSocketAddress address, Optional<SSLContext> tls, HttpHandler handler) {
    return bindPort(name, address, ioWorker(), tls, handler);
  }

  /** Opens a plain HTTP port with a dedicated I/O thread. */
  HttpPort openDedicatedThreadPort(String name, InetSocketAddress address, HttpHandler handler) {
    return bindPort(name, address, newIoWorker(1), Optional.empty(), handler);
  }

  private HttpPort bindPort(
      String name,
      InetSocketAddress address,
      XnioWorker worker,
      Optional<SSLContext> tls,
      HttpHandler handler) {
    HttpPort port =
        register(new HttpPort(name, address, worker, settings.httpLimits(), tls, handler));
    log.info("event=listening port={} address={} tls={}", name, port.address(), tls.isPresent());
    return port;
  }

  @Override
  public void close() {
    for (var component = pollComponent(); component.isPresent(); component = pollComponent()) {
      try {
        component.get().close();
      } catch (Exception failed) {
        log.warn("event=close-failed reason=\"{}\"", failed.toString());
      }
    }
  }
}
