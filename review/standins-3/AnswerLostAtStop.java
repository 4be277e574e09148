import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A host is stopped by SIGTERM and started again, as in a rolling restart, while requesters run
 * transactions of up to 12 statements with short pauses.
 */
final class AnswerLostAtStop {
  /** The longest work of a statement at the site is 0.41 s. */
  private static final int WORK_MILLIS = 400;

  private static final Deployment.Plan PLAN =
      new Deployment.Plan(3, 1, 62, 0, WORK_MILLIS, 1_000, 300);
  private static final int STATEMENTS = 12;
  private static final int PAUSE_MILLIS = 30;
  private static final long GRACE_MILLIS = Hosts.GRACE_SECONDS * 1_000L;

  /** A request that is sent earlier does not count if its server is at work until the very end. */
  private static final long EXCUSED_SENT_MILLIS = 3_000;

  /** What one requester does. */
  private record Operation(
      String database, String write, int timeoutMillis, int budgetMillis, long beginMillis) {}

  /** Beginnings are counted from 0.6 s before SIGTERM. */
  private static final List<Operation> OPERATIONS =
      List.of(
          new Operation(Deployment.BOUNDED_DATABASE, "READ k", 3_000, 12_000, 300),
          new Operation(Deployment.BOUNDED_DATABASE, "READ k", 3_000, 12_000, 700),
          new Operation(Deployment.BOUNDED_DATABASE, "READ k", 3_000, 12_000, 1_100),
          new Operation(Deployment.DATABASE, "WRITE k v", 1_000, 4_000, 1_900),
          new Operation(Deployment.DATABASE, "WRITE k v", 1_000, 4_000, 2_050),
          new Operation(Deployment.DATABASE, "WRITE k v", 1_000, 4_000, 2_200));

  private static final long STOP_MILLIS = 600;

  private final Record record;
  private final Set<String> arrived = ConcurrentHashMap.newKeySet();
  private final List<String> broken = new ArrayList<>();
  private volatile long stopMillis = Long.MAX_VALUE / 2;

  private AnswerLostAtStop(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Scenario.main(args, (root, record, trouble) -> new AnswerLostAtStop(record).run(root, trouble));
  }

  private boolean run(Path root, boolean trouble) throws Exception {
    DatabaseServer.Arrivals arrivals =
        (server, id, text) -> {
          arrived.add(id);
          record.line("%s receives %s: %s", server.id, id, text);
        };
    try (Deployment deployment = new Deployment(root, record, PLAN, arrivals)) {
      deployment.start(2);
      Hosts.Host host = deployment.hosts.host(4);
      Deployment.sleep(3_000);
      List<Thread> requesters = startRequesters(deployment, host);
      Deployment.sleep(STOP_MILLIS);
      stopMillis = record.nowMillis();
      if (trouble) {
        deployment.hosts.signal(host, "TERM");
        host.process.waitFor();
        long tookMillis = record.nowMillis() - stopMillis;
        record.line("host %s has ended, %d ms after SIGTERM", host.name, tookMillis);
        deployment.hosts.start(host, false);
      }
      for (Thread requester : requesters) {
        requester.join();
      }
    }
    synchronized (broken) {
      broken.forEach(line -> record.line("%s", line));
      return broken.isEmpty();
    }
  }

  private List<Thread> startRequesters(Deployment deployment, Hosts.Host host) {
    List<Thread> requesters = new ArrayList<>();
    for (Operation operation : OPERATIONS) {
      Thread thread = new Thread(() -> transaction(deployment, host, operation));
      thread.setDaemon(true);
      thread.start();
      requesters.add(thread);
    }
    return requesters;
  }

  private void transaction(Deployment deployment, Hosts.Host host, Operation operation) {
    try (Requester session = new Requester(deployment.hosts.front(host), operation.database())) {
      Deployment.sleep(operation.beginMillis());
      long endMillis = record.nowMillis() + operation.budgetMillis();
      boolean open = run(session, operation, "BEGIN", endMillis);
      for (int i = 1; open && i < STATEMENTS; i++) {
        String text = i % 3 == 0 ? operation.write() : "READ k" + i;
        open = run(session, operation, text, endMillis);
        Deployment.sleep(PAUSE_MILLIS);
      }
      if (open) {
        run(session, operation, "COMMIT", endMillis);
      }
    } catch (IOException refused) {
      record.line("a requester has no session: %s", refused);
    }
  }

  /** Runs one statement; returns whether the transaction goes on. */
  private boolean run(Requester session, Operation operation, String text, long endMillis) {
    String id = Requester.newId();
    long sentMillis = record.nowMillis();
    if (sentMillis >= endMillis) {
      record.line("a requester gives up: its time budget is used");
      return false;
    }
    record.line("%s: request %s is sent: %s", operation.database(), id, text);
    Requester.Answer answer = session.run(id, text, (int) (endMillis - sentMillis));
    long nowMillis = record.nowMillis();
    String result = answer.complete() ? answer.error().orElse("succeeded") : "NO COMPLETE ANSWER";
    record.line("%s: request %s: %s", operation.database(), id, result);
    if (!answer.complete() && nowMillis < endMillis) {
      judge(operation, id, sentMillis, nowMillis);
    }
    return answer.complete() && answer.error().isEmpty();
  }

  /** Counts a request that was passed on to a server and whose connection ended without answer. */
  private void judge(Operation operation, String id, long sentMillis, long endMillis) {
    boolean atStop = sentMillis >= stopMillis && endMillis <= stopMillis + GRACE_MILLIS + 1_000;
    boolean excused = sentMillis <= stopMillis + EXCUSED_SENT_MILLIS;
    boolean timeUp = endMillis - sentMillis >= operation.timeoutMillis();
    if (arrived.contains(id) && atStop && !excused && !timeUp) {
      synchronized (broken) {
        broken.add(
            ("LOST: request %s, sent %d ms after SIGTERM and passed on to a server, has no answer;"
                    + " its connection ended %d ms after SIGTERM")
                .formatted(id, sentMillis - stopMillis, endMillis - stopMillis));
      }
    }
  }
}
