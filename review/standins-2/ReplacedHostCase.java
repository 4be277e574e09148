import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A core machine is replaced as planned: its successor runs for longer than {@code catch_up_s}
 * before it gets SIGTERM and is gone. Later another core machine loses its disk.
 */
final class ReplacedHostCase implements CaseMain.Case {
  private static final long CATCH_UP_MILLIS = 4_000;
  private static final long SUCCESSOR_MILLIS = CATCH_UP_MILLIS + 2_000;
  private static final long GRACE_MILLIS = 6_000;
  private static final long DOWN_MILLIS = 3_000;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final long READ_MILLIS = 20_000;

  @Override
  public boolean run(Path root, Record record, boolean trouble) throws Exception {
    try (Bed bed = new Bed(root, record, 0, 4, call -> 409)) {
      bed.group().add("i-00000001", "z0", 20);
      bed.group().add("i-00000002", "z1", 20);
      bed.group().add("i-00000003", "z2", 20);
      HostProcess removed = bed.hosts().get(0);
      HostProcess wiped = bed.hosts().get(1);
      HostProcess successor = bed.hosts().get(3);
      bed.start(3);
      bed.configure();
      successor.start();
      record.add("host %s starts, the successor of %s", successor.name(), removed.name());
      Thread.sleep(SUCCESSOR_MILLIS);
      record.add("readiness of %s: %d", successor.name(), bed.readiness(successor));
      removed.terminate(GRACE_MILLIS);
      record.add("host %s got SIGTERM, has ended and is gone for good", removed.name());
      long version = bed.configure();
      // A trial with a longer time shows that the successor gets the vote later.
      Thread.sleep(Long.getLong("wipeAfterMillis", CATCH_UP_MILLIS));
      if (trouble) {
        wiped.end();
        wiped.emptyDisk();
        record.add("host %s is killed and loses its disk", wiped.name());
        Thread.sleep(DOWN_MILLIS);
        wiped.start();
        record.add("host %s starts with an empty disk", wiped.name());
      } else {
        Thread.sleep(DOWN_MILLIS);
      }
      Thread.sleep(RECOVERY_MILLIS);
      return reads(bed, record, removed, version);
    }
  }

  /** Returns whether one of the running hosts returns the newest acknowledged configuration. */
  private static boolean reads(Bed bed, Record record, HostProcess removed, long version)
      throws InterruptedException, IOException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_MILLIS);
    while (System.nanoTime() < end) {
      for (HostProcess host : bed.hosts()) {
        if (host == removed) {
          continue;
        }
        if (bed.readVersion(host) >= version) {
          return true;
        }
      }
      Thread.sleep(1_000);
    }
    record.add("BROKEN: configuration %d was acknowledged and no host returns it", version);
    return false;
  }
}
