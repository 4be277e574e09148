import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A service of a primary and its replicas, which receive each commit after a delay of their own.
 *
 * <p>The lock is this object. A commit is acknowledged once as many replicas have received it as
 * {@code sync_replicas} says.
 */
final class DbGroup {
  private static final long COMMIT_TIMEOUT_MILLIS = 3_000;

  /** A commit and the ids of its writes. */
  record Entry(long term, long number, List<String> writes) {}

  /** The outcome of a commit. */
  enum Commit {
    ACKNOWLEDGED,
    NOT_PRIMARY,
    UNANSWERED
  }

  private final String service;
  private final int syncReplicas;
  private final Record record;
  private final List<DbServer> servers = new ArrayList<>();
  private final List<Long> lagMillis = new ArrayList<>();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, task -> {
    Thread thread = new Thread(task, "replication");
    thread.setDaemon(true);
    return thread;
  });
  private DbServer primary;
  private long term = 1;
  private long lastNumber;

  DbGroup(String service, int syncReplicas, Record record) {
    this.service = service;
    this.syncReplicas = syncReplicas;
    this.record = record;
  }

  /** Adds a server; the first one is the primary. */
  synchronized DbServer add(String id, String zone, long lag) throws IOException {
    DbServer server = new DbServer(this, id, zone);
    servers.add(server);
    lagMillis.add(lag);
    primary = primary == null ? server : primary;
    return server;
  }

  String service() {
    return service;
  }

  synchronized List<DbServer> servers() {
    return List.copyOf(servers);
  }

  synchronized DbServer server(String id) {
    return servers.stream().filter(server -> server.id().equals(id)).findFirst().orElseThrow();
  }

  synchronized boolean isPrimary(DbServer server) {
    return server == primary;
  }

  synchronized String position(DbServer server) {
    return server.log.isEmpty() ? "1.0" : text(server.log.get(server.log.size() - 1));
  }

  private static String text(Entry entry) {
    return entry.term() + "." + entry.number();
  }

  /** Returns whether the log of a server has reached a position. */
  synchronized boolean holds(DbServer server, String position) {
    String[] wanted = position.split("\\.");
    String[] held = position(server).split("\\.");
    int byTerm = Long.compare(Long.parseLong(held[0]), Long.parseLong(wanted[0]));
    return byTerm != 0 ? byTerm > 0 : Long.parseLong(held[1]) >= Long.parseLong(wanted[1]);
  }

  synchronized String status(DbServer server, int connections) {
    return String.join(
        " ",
        server == primary ? "primary" : "replica",
        Long.toString(term),
        position(server),
        Long.toString(server.pausedTerm),
        "0",
        "0",
        Integer.toString(connections));
  }

  synchronized void pause(DbServer server, long pausedTerm) {
    record.add("server %s %s", server.id(), pausedTerm > 0 ? "PAUSE " + pausedTerm : "RESUME");
    server.pausedTerm = pausedTerm;
  }

  /** Commits writes at the primary and waits for the replicas that have to receive them. */
  synchronized Commit commit(DbServer server, List<String> writes) throws InterruptedException {
    if (server != primary) {
      return Commit.NOT_PRIMARY;
    }
    lastNumber++;
    Entry entry = new Entry(term, lastNumber, List.copyOf(writes));
    server.log.add(entry);
    for (int i = 0; i < servers.size(); i++) {
      DbServer replica = servers.get(i);
      if (replica != server) {
        timers.schedule(
            () -> receive(server, replica, entry.number()),
            lagMillis.get(i),
            TimeUnit.MILLISECONDS);
      }
    }
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COMMIT_TIMEOUT_MILLIS);
    while (server.isRunning() && received(server, entry) < syncReplicas) {
      long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      if (left <= 0) {
        return Commit.UNANSWERED;
      }
      wait(left);
    }
    return server.isRunning() ? Commit.ACKNOWLEDGED : Commit.UNANSWERED;
  }

  private long received(DbServer server, Entry entry) {
    return servers.stream()
        .filter(replica -> replica != server && replica.log.contains(entry))
        .count();
  }

  /** Gives a replica what it lacks of the log of the primary, up to a number. */
  private synchronized void receive(DbServer from, DbServer replica, long upTo) {
    boolean reaches =
        from == primary && from.isRunning() && replica.isRunning() && replica.pausedTerm == 0;
    if (!reaches) {
      return;
    }
    // A log that differs from the one of the primary is rolled back first.
    int same = 0;
    while (same < replica.log.size()
        && same < from.log.size()
        && replica.log.get(same).equals(from.log.get(same))) {
      same++;
    }
    replica.log.subList(same, replica.log.size()).clear();
    from.log.stream().skip(same).filter(entry -> entry.number() <= upTo).forEach(replica.log::add);
    notifyAll();
  }

  /** Lets a server that was away receive again. */
  synchronized void catchUp(DbServer replica) {
    if (replica != primary) {
      receive(primary, replica, Long.MAX_VALUE);
    }
  }

  /** Makes a server the primary of the next term, with what it has received. */
  synchronized void promote(String id) {
    DbServer next = server(id);
    if (next == primary) {
      return;
    }
    term++;
    primary = next;
    next.pausedTerm = 0;
    lastNumber = next.log.isEmpty() ? 0 : next.log.get(next.log.size() - 1).number();
    record.add("server %s leads term %d from position %s", id, term, position(next));
    servers.stream()
        .filter(server -> server != next)
        .forEach(server -> receive(next, server, Long.MAX_VALUE));
    notifyAll();
  }

  synchronized String primaryId() {
    return primary.id();
  }

  /** Returns whether the log of a server holds a write. */
  synchronized boolean holdsWrite(DbServer server, String write) {
    return server.log.stream().anyMatch(entry -> entry.writes().contains(write));
  }
}
