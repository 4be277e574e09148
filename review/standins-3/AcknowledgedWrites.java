import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Requesters that write all the time, and the comparison of what was acknowledged to them with the
 * log of the first server that is promoted.
 */
final class AcknowledgedWrites {
  private static final int REQUESTERS = 6;
  private static final int BUDGET_MILLIS = 1_500;
  private static final int PAUSE_MILLIS = 40;

  private final Record record;
  private final Deployment deployment;
  private final Map<String, Long> acknowledged = new ConcurrentHashMap<>();
  private final Set<String> lost = ConcurrentHashMap.newKeySet();
  private volatile boolean promoted;
  private volatile boolean stopping;

  AcknowledgedWrites(Record record, Deployment deployment) {
    this.record = record;
    this.deployment = deployment;
    deployment.beforePromotion = this::compare;
  }

  void start() {
    for (int i = 0; i < REQUESTERS; i++) {
      Hosts.Host host = deployment.hosts.host(1 + i % 3);
      Thread thread = new Thread(() -> write(host));
      thread.setDaemon(true);
      thread.start();
    }
  }

  int count() {
    return acknowledged.size();
  }

  boolean promoted() {
    return promoted;
  }

  /** Ends the requesters and returns whether nothing was lost. */
  boolean stop() {
    stopping = true;
    record.line(
        "%d writes were acknowledged; %d of them are missing in the log of the promoted server",
        acknowledged.size(), lost.size());
    return lost.isEmpty();
  }

  private void compare(String server) {
    if (promoted) {
      return;
    }
    promoted = true;
    Map<String, Long> before = Map.copyOf(acknowledged);
    Set<String> held = new HashSet<>(deployment.group.held(server));
    before.keySet().stream().filter(id -> !held.contains(id)).forEach(lost::add);
    List<String> sorted = new ArrayList<>(lost);
    sorted.sort(Comparator.comparing(before::get));
    sorted.forEach(
        id ->
            record.line(
                "LOST: write %s was acknowledged at %.3f, and %s does not hold it",
                id, before.get(id) / 1000.0, server));
  }

  private void write(Hosts.Host host) {
    while (!stopping) {
      try (Requester session = new Requester(deployment.hosts.front(host), Deployment.DATABASE)) {
        while (!stopping && writeOnce(session, host)) {
          Deployment.sleep(PAUSE_MILLIS);
        }
      } catch (IOException refused) {
        Deployment.sleep(200);
      }
    }
  }

  /** Returns whether the session goes on. */
  private boolean writeOnce(Requester session, Hosts.Host host) {
    String id = Requester.newId();
    long sentMillis = record.nowMillis();
    Requester.Answer answer =
        session.run(id, "WRITE k" + id.charAt(0) + " v" + id, BUDGET_MILLIS);
    if (answer.succeeded()) {
      acknowledged.put(id, record.nowMillis());
    }
    record.line(
        "write %s by %s, sent at %.3f: %s", id, host.name, sentMillis / 1000.0,
        answer.succeeded() ? "acknowledged" : answer.error().orElse("?"));
    return answer.complete();
  }
}
