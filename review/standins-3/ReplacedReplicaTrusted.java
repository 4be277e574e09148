import java.nio.file.Path;

/**
 * A service with a synchronous replica: one replica receives nothing for some seconds and the
 * primary crashes meanwhile; the other replica crashes too and is back first, at its address, with
 * nothing of before.
 */
final class ReplacedReplicaTrusted {
  private static final Deployment.Plan PLAN = new Deployment.Plan(3, 0, 64, 1, 11, 1_000, 300);
  private static final long REPLICA_CRASH_MILLIS = 1_000;
  private static final long PRIMARY_CRASH_MILLIS = 1_500;
  private static final long REPLICA_BACK_MILLIS = 3_000;
  private static final long PRIMARY_DOWN_MILLIS = 7_000;
  private static final long DEAF_MILLIS = 6_000;

  private ReplacedReplicaTrusted() {}

  public static void main(String[] args) throws Exception {
    Scenario.main(args, ReplacedReplicaTrusted::run);
  }

  private static boolean run(Path root, Record record, boolean trouble) throws Exception {
    // For comparison only: the replica is back under the id that it had.
    boolean sameId = System.getenv("SAME_ID") != null;
    try (Deployment deployment = new Deployment(root, record, PLAN, (server, id, text) -> {})) {
      AcknowledgedWrites writes = new AcknowledgedWrites(record, deployment);
      deployment.start(2);
      writes.start();
      Deployment.await("acknowledged writes", 15_000, () -> writes.count() > 300);
      long startMillis = record.nowMillis();
      if (trouble) {
        deployment.group.setReceives("i-2", false);
        record.line("replica i-2 receives nothing from now on");
        Deployment.sleep(startMillis + REPLICA_CRASH_MILLIS - record.nowMillis());
        DatabaseServer replica = deployment.server("i-3");
        replica.crash();
        Deployment.sleep(startMillis + PRIMARY_CRASH_MILLIS - record.nowMillis());
        DatabaseServer primary = deployment.server("i-1");
        primary.crash();
        Deployment.sleep(startMillis + REPLICA_BACK_MILLIS - record.nowMillis());
        String id = sameId ? "i-3" : "i-4";
        deployment.addServerAt(replica, id, DatabaseServer.Start.REPLICA);
        Deployment.sleep(startMillis + DEAF_MILLIS - record.nowMillis());
        deployment.group.setReceives("i-2", true);
        Deployment.sleep(
            startMillis + PRIMARY_CRASH_MILLIS + PRIMARY_DOWN_MILLIS - record.nowMillis());
        deployment.addServerAt(primary, "i-1", DatabaseServer.Start.WITH_ITS_LOG);
        record.line("server i-1 is back at %s", deployment.group.position("i-1"));
      }
      Deployment.sleep(startMillis + 14_000 - record.nowMillis());
      return writes.stop();
    }
  }
}
