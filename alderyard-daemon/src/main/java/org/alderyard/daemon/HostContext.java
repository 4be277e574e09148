package org.alderyard.daemon;

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

/** What the parts of one process share, and the order in which they are closed. */
final class HostContext implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(HostContext.class);

  /** As long as a request waits: a host that does not take a connection must not cost more. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /**
   * How long a connection for statements may take, and one that another host opens. Guards against
   * handshakes that are begun again and again while all hosts have just started and are slow.
   */
  private static final Duration PATIENT_CONNECT_TIMEOUT = Duration.ofSeconds(3);

  private static final int MAX_OUTSTANDING = 4_096;

  /** One that works, and one when it waits for a lock or the disk. */
  private static final int CONTROL_THREADS = 2;

  final DaemonSettings settings;
  final MonotonicClock clock = MonotonicClock.system();
  final InstantSource wallClock = InstantSource.system();
  final PrometheusRegistry registry = new PrometheusRegistry();
  final Dispatcher dispatcher = new Dispatcher();
  final ViewHolder views = new ViewHolder();
  final CompletableFuture<AlderyardException> failure = new CompletableFuture<>();
  final WorkerPool workers;

  /**
   * Runs what the hosts do among themselves.
   *
   * <p>Guards against leases that run out under load: heartbeats and announcements waited behind
   * the statements of callers, servers and hosts lost their leases, and there was no primary.
   */
  final WorkerPool controlWorkers;

  final EventLoops loops;
  final ProtocolOptions protocol;
  final ProtocolOptions patientProtocol;
  final PeerLinks links;

  /** For the statements of callers, so that what hosts do among themselves waits for none. */
  final PeerLinks statementLinks;

  final ControlHosts controlHosts;
  final ControlClient control;
  final HostState self;
  final ViewClient viewClient;
  // Closed in the opposite order of their start.
  private final Deque<AutoCloseable> parts = new ArrayDeque<>();
  private Optional<XnioWorker> ioWorker = Optional.empty();

  HostContext(DaemonSettings settings) {
    this.settings = settings;
    LogOptions.countDropped(registry);
    workers = part(new WorkerPool("worker", settings.workerThreads()));
    controlWorkers =
        settings.sessions().isPresent()
            ? workers
            : part(new WorkerPool("control", CONTROL_THREADS));
    loops = part(new EventLoops(settings.innerThreads()));
    long incarnation = wallClock.millis();
    protocol =
        new ProtocolOptions(
            settings.clusterId(),
            settings.host(),
            incarnation,
            settings.clusterKey(),
            CONNECT_TIMEOUT,
            MAX_OUTSTANDING);
    patientProtocol = protocol.connectingWithin(PATIENT_CONNECT_TIMEOUT);
    links = part(new PeerLinks(loops, protocol));
    statementLinks = part(new PeerLinks(loops, patientProtocol));
    controlHosts =
        new ControlHosts(
            knownControlHosts(), settings.open().map(OpenClusterOptions::voters).orElse(0));
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
    viewClient = new ViewClient(control, self, views, controlWorkers, clock);
  }

  private List<InetSocketAddress> knownControlHosts() {
    return settings.open().map(OpenClusterOptions::seeds).orElse(settings.controlHosts());
  }

  /** Takes a part that is closed before those that were taken earlier. */
  synchronized <T extends AutoCloseable> T part(T part) {
    parts.push(part);
    return part;
  }

  private synchronized Optional<AutoCloseable> nextPart() {
    return Optional.ofNullable(parts.poll());
  }

  /**
   * Returns the threads of the HTTP ports, which are started by the first call.
   *
   * <p>Their start takes a fifth of the processor time of a host's whole start, as it brings the
   * management beans of the Java runtime with it; what callers wait for goes first.
   */
  synchronized XnioWorker ioWorker() {
    if (ioWorker.isEmpty()) {
      ioWorker = Optional.of(newIoWorker(settings.ioThreads()));
    }
    return ioWorker.get();
  }

  /**
   * Returns threads for the connections to servers alone.
   *
   * <p>Guards against a server that seems lost under load: its answers waited behind the requests
   * of callers, on the same threads.
   */
  XnioWorker serverIo() {
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
      part(worker::shutdownNow);
      return worker;
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /** Opens an HTTP port that speaks TLS if the settings say so for its kind. */
  HttpPort port(
      String name, InetSocketAddress address, Optional<SSLContext> tls, HttpHandler handler) {
    return open(name, address, ioWorker(), tls, handler);
  }

  /** Opens an HTTP port that has a thread of its own. */
  HttpPort ownThreadPort(String name, InetSocketAddress address, HttpHandler handler) {
    return open(name, address, newIoWorker(1), Optional.empty(), handler);
  }

  private HttpPort open(
      String name,
      InetSocketAddress address,
      XnioWorker threads,
      Optional<SSLContext> tls,
      HttpHandler handler) {
    HttpPort port = part(new HttpPort(name, address, threads, settings.httpLimits(), tls, handler));
    log.info("event=listening port={} address={} tls={}", name, port.address(), tls.isPresent());
    return port;
  }

  @Override
  public void close() {
    for (var part = nextPart(); part.isPresent(); part = nextPart()) {
      try {
        part.get().close();
      } catch (Exception failed) {
        log.warn("event=close-failed reason=\"{}\"", failed.toString());
      }
    }
  }
}
