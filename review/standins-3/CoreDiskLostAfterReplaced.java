import java.nio.file.Path;

/**
 * A host of the core freezes for two seconds while the successor of another one runs beside the
 * core. Later that other host is removed for good, and a second after that a disk is lost.
 */
final class CoreDiskLostAfterReplaced {
  private static final long SUCCESSOR_MILLIS = 8_000;
  private static final long FREEZE_MILLIS = 2_500;
  private static final long AFTER_FREEZE_MILLIS = 8_000;
  private static final long DISK_LOSS_MILLIS = 1_000;
  private static final long DOWN_MILLIS = 1_000;
  private static final long RECOVERY_MILLIS = 15_000;
  private static final long READ_MILLIS = 30_000;
  private static final int VERSION = 2;

  private CoreDiskLostAfterReplaced() {}

  public static void main(String[] args) throws Exception {
    Scenario.main(args, CoreDiskLostAfterReplaced::run);
  }

  private static boolean run(Path root, Record record, boolean trouble) throws Exception {
    try (Hosts hosts = new Hosts(root, record, 4, 0, 70)) {
      CoreConfiguration configuration = new CoreConfiguration(hosts, record);
      for (int i = 1; i <= 3; i++) {
        hosts.start(hosts.host(i), true);
      }
      if (!configuration.confirm(1, 30_000)) {
        throw new IllegalStateException("the core did not form");
      }
      hosts.start(hosts.host(4), false);
      Deployment.sleep(SUCCESSOR_MILLIS);
      if (trouble) {
        hosts.signal(hosts.host(3), "STOP");
        Deployment.sleep(FREEZE_MILLIS);
        hosts.signal(hosts.host(3), "CONT");
      }
      Deployment.sleep(AFTER_FREEZE_MILLIS);
      if (!configuration.confirm(VERSION, 5_000)) {
        throw new IllegalStateException("no confirmation before the disk is lost");
      }
      kill(hosts, hosts.host(1));
      if (trouble) {
        Deployment.sleep(DISK_LOSS_MILLIS);
        kill(hosts, hosts.host(2));
        hosts.wipe(hosts.host(2));
        Deployment.sleep(DOWN_MILLIS);
        hosts.start(hosts.host(2), false);
      }
      Deployment.sleep(RECOVERY_MILLIS);
      return configuration.read(READ_MILLIS) >= VERSION;
    }
  }

  private static void kill(Hosts hosts, Hosts.Host host) throws Exception {
    hosts.signal(host, "KILL");
    host.process.waitFor();
  }
}
