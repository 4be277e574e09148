import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The log of one service and its copies, as the section 'Servers' of PROTOCOL.md describes them.
 *
 * <p>Guarded by this object's monitor.
 */
final class DatabaseGroup implements AutoCloseable {
  private static final long TICK_MILLIS = 1;

  final String service;
  final int slots;
  final int maxConnections;
  final int syncReplicas;
  final long promoteMillis;
  private final long networkNanos;
  private final long applyNanos;
  final RunRecord record;
  private final Map<String, DatabaseServer> servers = new LinkedHashMap<>();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private long term = 1;
  private DatabaseServer primary;
  private final List<Promotion> promotions = new ArrayList<>();
  private Runnable onRoleChange = () -> {};

  /** One committed transaction. */
  record Entry(long term, long number, String id, Map<String, String> items, long committedNanos) {
    String position() {
      return term + "." + number;
    }
  }

  /** A change of primary: what the new primary had received, and what was acknowledged by then. */
  record Promotion(String server, Set<String> received, Set<String> acknowledged) {}

  DatabaseGroup(
      String service,
      int slots,
      int maxConnections,
      int syncReplicas,
      long promoteMillis,
      long networkMillis,
      long applyMillis,
      RunRecord record) {
    this.service = service;
    this.slots = slots;
    this.maxConnections = maxConnections;
    this.syncReplicas = syncReplicas;
    this.promoteMillis = promoteMillis;
    this.networkNanos = TimeUnit.MILLISECONDS.toNanos(networkMillis);
    this.applyNanos = TimeUnit.MILLISECONDS.toNanos(applyMillis);
    this.record = record;
    timers.scheduleWithFixedDelay(
        this::replicate, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Adds a server; the first one is the primary. */
  synchronized void add(DatabaseServer server) {
    servers.put(server.id, server);
    primary = primary == null ? server : primary;
  }

  synchronized List<DatabaseServer> servers() {
    return List.copyOf(servers.values());
  }

  synchronized DatabaseServer server(String id) {
    return servers.get(id);
  }

  synchronized boolean leads(DatabaseServer server) {
    return server == primary;
  }

  synchronized long term() {
    return term;
  }

  synchronized List<Promotion> promotions() {
    return List.copyOf(promotions);
  }

  void onRoleChange(Runnable listener) {
    onRoleChange = listener;
  }

  /** Copies to each replica what has been on the network for long enough, and applies it. */
  private synchronized void replicate() {
    long now = System.nanoTime();
    for (DatabaseServer server : servers.values()) {
      if (server == primary || !server.running()) {
        continue;
      }
      if (primary.running() && server.receives()) {
        server.receive(primary.log(), now - networkNanos, now);
      }
      server.apply(now - applyNanos);
    }
    notifyAll();
  }

  /** Appends a commit to the primary's log; returns null if the server does not lead. */
  synchronized Entry commit(DatabaseServer server, String id, Map<String, String> items) {
    if (server != primary || !server.running()) {
      return null;
    }
    List<Entry> log = server.log();
    long number = log.isEmpty() ? 1 : log.get(log.size() - 1).number() + 1;
    Entry entry = new Entry(term, number, id, Map.copyOf(items), System.nanoTime());
    server.append(entry);
    return entry;
  }

  /**
   * Waits until enough replicas have received a commit; returns false if the server loses the lead
   * or ends before that.
   */
  synchronized boolean awaitReplicas(DatabaseServer server, Entry entry)
      throws InterruptedException {
    while (true) {
      if (server != primary || !server.running()) {
        return false;
      }
      long holders =
          servers.values().stream()
              .filter(other -> other != server && other.running() && other.holds(entry))
              .count();
      if (holders >= syncReplicas) {
        server.acknowledge(entry.id());
        return true;
      }
      wait(50);
    }
  }

  /** Carries out an order to promote a server; returns false if the server does not run. */
  synchronized boolean promote(String id) {
    DatabaseServer next = servers.get(id);
    if (next == null || !next.running()) {
      return false;
    }
    if (next != primary) {
      timers.schedule(() -> lead(next), promoteMillis, TimeUnit.MILLISECONDS);
    }
    return true;
  }

  private void lead(DatabaseServer next) {
    synchronized (this) {
      if (next == primary || !next.running()) {
        return;
      }
      Set<String> received = new HashSet<>();
      next.log().forEach(entry -> received.add(entry.id()));
      Set<String> acknowledged = new HashSet<>();
      servers.values().forEach(server -> acknowledged.addAll(server.acknowledged()));
      promotions.add(new Promotion(next.id, received, acknowledged));
      record.say("server-leads", next.id, "received", next.received(), "term", term + 1);
      term++;
      primary = next;
      next.resume();
      next.apply(Long.MAX_VALUE);
      servers.values().forEach(server -> server.truncateTo(next.log()));
      notifyAll();
    }
    onRoleChange.run();
  }

  /** Makes the server a replica if it leads a term below the given one. */
  synchronized void demote(DatabaseServer server, long belowTerm) {
    if (server == primary && term < belowTerm) {
      server.setDemoted(true);
    }
  }

  void schedule(long delayMillis, Runnable task) {
    timers.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    timers.shutdownNow();
    servers().forEach(DatabaseServer::close);
  }
}
