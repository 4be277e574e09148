import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A service of one primary and its replicas: the log, what each server has received, and the
 * promotion. All state is guarded by this object.
 */
final class DatabaseGroup {
  static final int FIRST_NUMBER = 1_000;

  /** One commit of the log. */
  record Commit(int term, int number, String id, long atMillis) {}

  /** The outcome of a commit at the primary. */
  enum Outcome {
    ACKNOWLEDGED,
    NOT_LEADING
  }

  final String name;
  private final int syncReplicas;
  private final Record record;
  private final List<Commit> log = new ArrayList<>();
  private final Map<String, Member> members = new LinkedHashMap<>();
  private int term = 1;
  private String primary;

  /** What one server holds; the numbers count commits of the log. */
  static final class Member {
    int received;
    // Whether it started with nothing and has not received the log since.
    boolean empty;
    boolean receives = true;
    long pausedTerm;
    boolean running = true;
  }

  DatabaseGroup(String name, int syncReplicas, Record record) {
    this.name = name;
    this.syncReplicas = syncReplicas;
    this.record = record;
  }

  /** Adds a server with nothing; a replica receives the log while the primary runs. */
  synchronized void add(String server, boolean isPrimary) {
    Member member = new Member();
    member.empty = !log.isEmpty();
    members.put(server, member);
    if (isPrimary) {
      primary = server;
    }
    deliver();
    notifyAll();
  }

  /** Ends a server. */
  synchronized void remove(String server) {
    members.get(server).running = false;
    notifyAll();
  }

  /** Starts a server again with the log that it had. */
  synchronized void restart(String server) {
    members.get(server).running = true;
    deliver();
    notifyAll();
  }

  synchronized boolean isPrimary(String server) {
    return server.equals(primary) && members.get(server).running;
  }

  synchronized String primary() {
    return primary;
  }

  synchronized int term() {
    return term;
  }

  /** Makes a replica receive nothing, or receive again. */
  synchronized void setReceives(String server, boolean receives) {
    members.get(server).receives = receives;
    deliver();
    notifyAll();
  }

  /** Pauses a replica under a term above the newest one. */
  synchronized void pause(String server, long pauseTerm) {
    if (pauseTerm > term && !server.equals(primary)) {
      members.get(server).pausedTerm = pauseTerm;
    }
  }

  synchronized boolean isPaused(String server) {
    return members.get(server).pausedTerm > 0;
  }

  synchronized void resume(String server) {
    members.get(server).pausedTerm = 0;
    deliver();
    notifyAll();
  }

  private void deliver() {
    if (!members.get(primary).running) {
      return;
    }
    members.forEach(
        (server, member) -> {
          boolean reached = member.running && member.receives && member.pausedTerm == 0;
          if (server.equals(primary) || reached) {
            member.received = log.size();
            member.empty = false;
          }
        });
  }

  /** Returns the position up to which a server holds the log, as TERM.NUMBER. */
  synchronized String position(String server) {
    int received = members.get(server).received;
    if (members.get(server).empty) {
      return "0.0";
    }
    return received == 0
        ? "1." + FIRST_NUMBER
        : log.get(received - 1).term() + "." + log.get(received - 1).number();
  }

  /** Returns whether a server's log holds a position. */
  synchronized boolean holds(String server, String position) {
    String[] required = position.split("\\.");
    String[] held = position(server).split("\\.");
    int terms = Integer.compare(Integer.parseInt(held[0]), Integer.parseInt(required[0]));
    return terms > 0
        || terms == 0 && Integer.parseInt(held[1]) >= Integer.parseInt(required[1]);
  }

  /** Commits at the primary; waits until enough replicas have received the commit. */
  synchronized Outcome commit(String server, String id, long nowMillis)
      throws InterruptedException {
    if (!isPrimary(server)) {
      return Outcome.NOT_LEADING;
    }
    int number = log.isEmpty() ? FIRST_NUMBER + 1 : log.get(log.size() - 1).number() + 1;
    Commit commit = new Commit(term, number, id, nowMillis);
    log.add(commit);
    deliver();
    int needed = log.size();
    int commitTerm = term;
    while (term == commitTerm && members.get(server).running && receivers(needed) < syncReplicas) {
      wait(20);
    }
    boolean leads = term == commitTerm && members.get(server).running;
    return leads || log.contains(commit) && term != commitTerm
        ? Outcome.ACKNOWLEDGED
        : Outcome.NOT_LEADING;
  }

  private long receivers(int needed) {
    return members.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(primary))
        .filter(entry -> entry.getValue().received >= needed)
        .count();
  }

  /** Returns the ids of the commits that a server holds. */
  synchronized List<String> held(String server) {
    return log.subList(0, members.get(server).received).stream().map(Commit::id).toList();
  }

  /** Makes a server the primary of the next term with what it has received, and nothing more. */
  synchronized void promote(String server) {
    if (server.equals(primary) || !members.get(server).running) {
      return;
    }
    int kept = members.get(server).received;
    record.line(
        "server %s leads term %d from position %s; %d commits of the log are rolled back",
        server, term + 1, position(server), log.size() - kept);
    while (log.size() > kept) {
      log.remove(log.size() - 1);
    }
    term++;
    primary = server;
    members
        .values()
        .forEach(
            member -> {
              member.received = Math.min(member.received, kept);
              member.pausedTerm = 0;
            });
    deliver();
    notifyAll();
  }
}
