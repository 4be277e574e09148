import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A primary leaves while the platform's service that designates primaries is down, and one host
 * without a disk is killed and started again meanwhile.
 */
final class DrainAfterRestart {
  private static final Deployment.Plan PLAN = new Deployment.Plan(3, 1, 63, 0, 11, 1_000, 300);
  private static final long DRAIN_MILLIS = 7_000;
  private static final long CONTACT_MILLIS = 4_000;
  private static final long KILL_AFTER_MILLIS = 3_000;
  private static final long DOWN_MILLIS = 12_000;
  private static final int BUDGET_MILLIS = 1_500;

  private final Record record;
  // The hosts that sent a request on, by its id.
  private final Map<String, String> sentBy = new ConcurrentHashMap<>();
  private final List<String> broken = new ArrayList<>();
  private volatile long drainMillis = -1;
  private volatile long restartMillis = -1;
  private volatile boolean stopping;

  private DrainAfterRestart(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Scenario.main(
        args, (root, record, trouble) -> new DrainAfterRestart(record).run(root, trouble));
  }

  private boolean run(Path root, boolean trouble) throws Exception {
    try (Deployment deployment = new Deployment(root, record, PLAN, this::arrived)) {
      deployment.start(2);
      for (Hosts.Host host : deployment.hosts.all()) {
        Thread requester = new Thread(() -> write(deployment, host));
        requester.setDaemon(true);
        requester.start();
      }
      Deployment.sleep(CONTACT_MILLIS + 2_000);
      DatabaseServer leaving = deployment.server("i-1");
      if (trouble) {
        deployment.cloud.setAnswers(false);
      }
      leaving.drain();
      Deployment.await("confirmed draining", 5_000, () -> leaving.drainConfirmedMillis() >= 0);
      drainMillis = leaving.drainConfirmedMillis();
      Hosts.Host restarted = deployment.hosts.host(4);
      sleepUntil(drainMillis + KILL_AFTER_MILLIS);
      if (trouble) {
        deployment.hosts.signal(restarted, "KILL");
        restarted.process.waitFor();
        Deployment.sleep(200);
        restartMillis = record.nowMillis();
        deployment.hosts.start(restarted, false);
      }
      sleepUntil(drainMillis + DOWN_MILLIS);
      deployment.cloud.setAnswers(true);
      Deployment.sleep(2_000);
      stopping = true;
    }
    synchronized (broken) {
      record.line("%d requests reached the server too late", broken.size());
      return broken.isEmpty();
    }
  }

  private void sleepUntil(long millis) {
    Deployment.sleep(millis - record.nowMillis());
  }

  private void arrived(DatabaseServer server, String id, String text) {
    long nowMillis = record.nowMillis();
    if (!server.id.equals("i-1") || drainMillis < 0) {
      return;
    }
    String host = sentBy.getOrDefault(id, "?");
    boolean late = nowMillis > drainMillis + DRAIN_MILLIS;
    boolean inTouch =
        !host.equals("h4") || restartMillis < 0 || nowMillis > restartMillis + CONTACT_MILLIS;
    record.line(
        "i-1 receives %s from a requester of %s, %d ms after its draining was confirmed%s",
        id, host, nowMillis - drainMillis, late && inTouch ? "; DRAIN: too late" : "");
    if (late && inTouch) {
      synchronized (broken) {
        broken.add(id);
      }
    }
  }

  private void write(Deployment deployment, Hosts.Host host) {
    while (!stopping) {
      try (Requester session =
          new Requester(deployment.hosts.front(host), Deployment.DATABASE)) {
        while (!stopping) {
          String id = Requester.newId();
          sentBy.put(id, host.name);
          Requester.Answer answer = session.run(id, "WRITE k v" + id, BUDGET_MILLIS);
          if (drainMillis >= 0) {
            record.line(
                "requester of %s: %s %s", host.name, id,
                answer.succeeded() ? "succeeded" : answer.error().orElse("?"));
          }
          if (!answer.complete()) {
            break;
          }
          Deployment.sleep(100);
        }
      } catch (IOException refused) {
        Deployment.sleep(300);
      }
    }
  }
}
