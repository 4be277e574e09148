import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Two servers of a service with a synchronous replica are replaced one after the other, the primary
 * first. One replica receives nothing for some seconds meanwhile.
 */
final class SynchronousCommitLost {
  private static final Deployment.Plan PLAN = new Deployment.Plan(3, 0, 61, 1, 11, 1_000, 300);

  /** The time from one step of the release to the next, as the bench's list of kinds has it. */
  private static final long GAP_MILLIS = 1_000;

  private static final long DEAF_AFTER_MILLIS = 300;
  private static final long DEAF_MILLIS = 6_000;

  private SynchronousCommitLost() {}

  public static void main(String[] args) throws Exception {
    Scenario.main(args, SynchronousCommitLost::run);
  }

  private static boolean run(Path root, Record record, boolean trouble) throws Exception {
    try (Deployment deployment = new Deployment(root, record, PLAN, (server, id, text) -> {})) {
      AcknowledgedWrites writes = new AcknowledgedWrites(record, deployment);
      deployment.start(2);
      writes.start();
      Deployment.await("acknowledged writes", 15_000, () -> writes.count() > 100);
      deployment.addServer("i-4", false);
      Deployment.await(
          "heartbeat of i-4", 5_000, () -> deployment.server("i-4").firstConfirmedMillis() >= 0);
      Deployment.sleep(2_000);
      awaitHeartbeat(deployment.server("i-2"));
      release(deployment, record, trouble);
      Deployment.await("promotion", 20_000, writes::promoted);
      Deployment.sleep(2_000);
      return writes.stop();
    }
  }

  /** The primary leaves after its successor has started; then the successor of the next starts. */
  private static void release(Deployment deployment, Record record, boolean trouble)
      throws Exception {
    DatabaseServer leaving = deployment.server("i-1");
    leaving.drain();
    Deployment.await("confirmed draining", 5_000, () -> leaving.drainConfirmedMillis() >= 0);
    long startMillis = leaving.drainConfirmedMillis();
    Deployment.sleep(startMillis + DEAF_AFTER_MILLIS - record.nowMillis());
    Optional<String> receiving =
        List.of("i-2", "i-3", "i-4").stream()
            .filter(id -> !deployment.group.isPaused(id))
            .findFirst();
    if (trouble && receiving.isPresent()) {
      deployment.group.setReceives(receiving.get(), false);
      record.line("replica %s receives nothing from now on", receiving.get());
      receiveLater(deployment, receiving.get());
    }
    Deployment.sleep(startMillis + GAP_MILLIS - record.nowMillis());
    deployment.addServer("i-5", false);
  }

  private static void receiveLater(Deployment deployment, String replica) {
    Thread healing =
        new Thread(
            () -> {
              Deployment.sleep(DEAF_MILLIS);
              deployment.group.setReceives(replica, true);
            });
    healing.setDaemon(true);
    healing.start();
  }

  /** Waits until right after a heartbeat of a server. */
  private static void awaitHeartbeat(DatabaseServer server) {
    long before = server.lastConfirmedMillis();
    while (server.lastConfirmedMillis() == before) {
      Deployment.sleep(5);
    }
  }
}
