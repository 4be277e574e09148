import java.nio.file.Path;

/**
 * A host of the core is replaced: its successor runs first, and then it is removed for good. Half a
 * second later the one further host that may be lost is gone, for good too.
 */
final class CoreHostGoneAfterReplaced {
  private static final long SUCCESSOR_MILLIS = 10_000;
  private static final long SECOND_LOSS_MILLIS = 500;
  private static final long NEXT_SUCCESSOR_MILLIS = 2_000;
  private static final long RECOVERY_MILLIS = 15_000;
  private static final long READ_MILLIS = 30_000;
  private static final int VERSION = 2;

  private CoreHostGoneAfterReplaced() {}

  public static void main(String[] args) throws Exception {
    Scenario.main(args, CoreHostGoneAfterReplaced::run);
  }

  private static boolean run(Path root, Record record, boolean trouble) throws Exception {
    try (Hosts hosts = new Hosts(root, record, 5, 0, 69)) {
      CoreConfiguration configuration = new CoreConfiguration(hosts, record);
      for (int i = 1; i <= 3; i++) {
        hosts.start(hosts.host(i), true);
      }
      if (!configuration.confirm(1, 30_000)) {
        throw new IllegalStateException("the core did not form");
      }
      hosts.start(hosts.host(4), false);
      Deployment.sleep(SUCCESSOR_MILLIS);
      if (!configuration.confirm(VERSION, 5_000)) {
        throw new IllegalStateException("no confirmation before the disruption");
      }
      remove(hosts, hosts.host(1));
      if (trouble) {
        Deployment.sleep(SECOND_LOSS_MILLIS);
        remove(hosts, hosts.host(2));
        Deployment.sleep(NEXT_SUCCESSOR_MILLIS);
        hosts.start(hosts.host(5), false);
      }
      Deployment.sleep(RECOVERY_MILLIS);
      return configuration.read(READ_MILLIS) >= VERSION;
    }
  }

  private static void remove(Hosts hosts, Hosts.Host host) throws Exception {
    hosts.signal(host, "KILL");
    host.process.waitFor();
  }
}
