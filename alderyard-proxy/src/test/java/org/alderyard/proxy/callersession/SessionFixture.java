package org.alderyard.proxy.callersession;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.backend.session.SessionStatement.Commit;
import org.alderyard.backend.session.SessionStatement.Execute;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.backend.session.SessionStatement.Read;
import org.alderyard.backend.session.SessionStatement.Rollback;
import org.alderyard.backend.session.SessionStatement.SetValue;
import org.alderyard.backend.session.SessionStatement.Write;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.start.StartLog;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.DatabaseState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.KeyDigest;
import org.alderyard.common.view.OrganisationState;
import org.alderyard.common.view.Organisations;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.SessionReads;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.proxy.admission.AdmissionMode;
import org.alderyard.proxy.pool.ConnectionAllowance;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.testkit.session.ModelGroup;

/**
 * Sessions of one host with an in-memory group. The databases orders, calendar and digest have
 * different read consistency rules.
 */
final class SessionFixture implements AutoCloseable {
  static final String NEWEST = "orders";
  static final String BOUNDED = "calendar";
  static final String OWN_WRITES = "digest";
  static final int STALENESS_MILLIS = 1_500;
  static final int TIMEOUT_MILLIS = 600;
  static final int IDLE_MILLIS = 3_000;

  final ModelGroup group;
  final ViewHolder views = new ViewHolder();
  final WorkerPool workers = new WorkerPool("test", 2);
  final SessionService service;
  private final AtomicLong advancedMillis = new AtomicLong();
  private final MonotonicClock clock = this::readClock;
  volatile boolean viewConfirmed = true;

  /** Runs each time the clock is read, before the time is returned. */
  volatile Runnable onClockRead = () -> {};

  /** Runs each time the state of the view lease is read, before it is returned. */
  volatile Runnable onLeaseRead = () -> {};

  private long version;
  private int statements;
  private List<HostState> hosts = List.of();
  private int connectionsPerServer = 40;
  private int timeoutMillis = TIMEOUT_MILLIS;
  private Organisations organisations = Organisations.NONE;
  private final List<DatabaseState> addedDatabases = new ArrayList<>();

  SessionFixture() {
    this("z0");
  }

  SessionFixture(String zone) {
    this(zone, new ModelGroup("g1", "s1", "s2", "s3"));
  }

  /** Creates a host that shares a group with other hosts. */
  SessionFixture(String zone, ModelGroup group) {
    this(zone, group, Duration.ZERO);
  }

  /** Creates a host that begins to serve callers at this delay after its first view. */
  SessionFixture(String zone, ModelGroup group, Duration servingDelay) {
    this(zone, group, servingDelay, AdmissionMode.NONE);
  }

  /** Creates a host with the given admission mode. */
  SessionFixture(AdmissionMode admission) {
    this("z1", new ModelGroup("g1", "s1", "s2", "s3"), Duration.ZERO, admission);
  }

  private SessionFixture(
      String zone, ModelGroup group, Duration servingDelay, AdmissionMode admission) {
    this.group = group;
    service =
        new SessionService(
            views,
            new ZoneName(zone),
            group,
            ConnectionAllowance.UNLIMITED,
            workers,
            clock,
            () -> Instant.ofEpochMilli(clock.nowMillis()),
            new PrometheusRegistry(),
            this::readLease,
            new SessionLimits(100, servingDelay, 1, StartOpenings.WAIT).withAdmission(admission),
            new StartLog());
    publish("s1", group.states());
  }

  private long readClock() {
    onClockRead.run();
    return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(advancedMillis.get());
  }

  private boolean readLease() {
    onLeaseRead.run();
    return viewConfirmed;
  }

  /**
   * Publishes a view in which this host is one of several, and servers accept this number of
   * connections.
   */
  void join(List<HostState> all, int connections) {
    hosts = all;
    connectionsPerServer = connections;
    publish("s1", group.states());
  }

  /** Publishes a view in which statements have this timeout and latency objective. */
  void timeout(int millis) {
    timeoutMillis = millis;
    publish("s1", group.states());
  }

  /** Publishes a view with these organisations. */
  void organisations(OrganisationState... all) {
    organisations = Organisations.of(List.of(all));
    publish("s1", group.states());
  }

  /** Publishes a view with another database. */
  void addDatabase(String name) {
    addedDatabases.add(database(name, SessionReads.NEWEST));
    publish("s1", group.states());
  }

  /** Publishes a view without a database that was added. */
  void removeDatabase(String name) {
    addedDatabases.removeIf(database -> database.name().equals(name));
    publish("s1", group.states());
  }

  static CallerIdentity identity(String key) {
    return CallerIdentity.ofKey(key.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an organisation without a quota. */
  static OrganisationState organisation(String name, String... keys) {
    return new OrganisationState(
        name, Stream.of(keys).map(KeyDigest::of).toList(), 1, Optional.empty());
  }

  /** Publishes a view in the next term with this primary. */
  void publish(String primary, List<ServerState> servers) {
    version++;
    View.Editor editor = View.EMPTY.edit();
    GroupId id = group.id();
    editor
        .groups()
        .put(
            id,
            new GroupState(
                id,
                version,
                Optional.of(new ServerId(primary)),
                List.of(),
                2,
                connectionsPerServer));
    hosts.forEach(host -> editor.hosts().put(host.id(), host));
    servers.forEach(editor::put);
    editor.configuration(
        new ConfigurationState(
            version,
            databases(),
            new TreeMap<>(Map.of(id, 40)),
            new TreeMap<>(),
            IDLE_MILLIS,
            0,
            organisations,
            Bytes.of(new byte[0]),
            false,
            Bytes.of(new byte[0])));
    views.updateIfNewer(editor.at(new ViewVersion(1, version)));
  }

  private List<DatabaseState> databases() {
    List<DatabaseState> all = new ArrayList<>(addedDatabases);
    all.add(database(NEWEST, SessionReads.NEWEST));
    all.add(database(BOUNDED, SessionReads.BOUNDED));
    all.add(database(OWN_WRITES, SessionReads.OWN_WRITES));
    return all;
  }

  private DatabaseState database(String name, SessionReads reads) {
    return new DatabaseState(
        name, "/", group.id(), reads, timeoutMillis, timeoutMillis, 1, STALENESS_MILLIS);
  }

  SessionContext context() {
    return service.context();
  }

  /** Advances the clock of all sessions. */
  void advance(long millis) {
    advancedMillis.addAndGet(millis);
  }

  Caller caller(String database) {
    return new Caller(service.open(database, CallerIdentity.ANONYMOUS));
  }

  Caller caller(String database, String key) {
    return new Caller(service.open(database, identity(key)));
  }

  /** A caller that waits for each reply. */
  final class Caller {
    final CallerSession session;

    Caller(CallerSession session) {
      this.session = session;
    }

    CompletableFuture<SessionReply> send(SessionStatement statement) {
      statements++;
      return session.handle("q" + statements, statement);
    }

    SessionReply run(SessionStatement statement) {
      try {
        return send(statement).get(5, TimeUnit.SECONDS);
      } catch (Exception failure) {
        throw new AssertionError("no reply to " + statement, failure);
      }
    }

    SessionReply read(String item) {
      return run(new Read(item));
    }

    SessionReply write(String item, String data) {
      return run(new Write(item, data));
    }

    SessionReply begin() {
      return run(new Begin(false));
    }

    SessionReply beginRead() {
      return run(new Begin(true));
    }

    SessionReply commit() {
      return run(new Commit());
    }

    SessionReply rollback() {
      return run(new Rollback());
    }

    SessionReply set(String name, String value) {
      return run(new SetValue(name, value));
    }

    SessionReply prepare(String name, StatementKind kind, String shape) {
      return run(new Prepare(name, kind, shape));
    }

    SessionReply execute(String name, String item) {
      return run(new Execute(name, item, Optional.empty()));
    }
  }

  @Override
  public void close() {
    workers.close();
  }
}
