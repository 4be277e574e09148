import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * All hosts of the core are killed in the first moments of the first start, and are back within a
 * second with their disks.
 */
final class FirstStartInterrupted {
  private static final long LATEST_KILL_MILLIS = 300;
  private static final long DOWN_MILLIS = 700;

  /** Far longer than the time for a confirmation (5 s) and for a recovery (12 s). */
  private static final long WAIT_MILLIS = 60_000;

  private static final String CONFIGURATION =
      "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"db1\",\"path_prefix\":\"/\","
          + "\"route_type\":\"primary\",\"timeout_ms\":1000,\"target_latency_ms\":200,"
          + "\"priority\":1,\"service\":\"svc1\",\"max_attempts\":2}],"
          + "\"services\":[{\"name\":\"svc1\",\"health_path\":\"/health\",\"max_connections\":34,"
          + "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}],"
          + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}";

  private FirstStartInterrupted() {}

  public static void main(String[] args) throws Exception {
    Scenario.main(args, FirstStartInterrupted::run);
  }

  private static boolean run(Path root, Record record, boolean trouble) throws Exception {
    try (Hosts hosts = new Hosts(root, record, 3, 0, 65)) {
      hosts.startAll();
      if (trouble) {
        long latestMillis = record.nowMillis() + LATEST_KILL_MILLIS;
        while (record.nowMillis() < latestMillis && !listens(hosts)) {
          Deployment.sleep(5);
        }
        for (Hosts.Host host : hosts.all()) {
          hosts.signal(host, "KILL");
        }
        for (Hosts.Host host : hosts.all()) {
          host.process.waitFor();
        }
        Deployment.sleep(DOWN_MILLIS);
        for (Hosts.Host host : hosts.all()) {
          hosts.start(host, false);
        }
      }
      return isConfirmed(hosts, record) || isServed(hosts, record);
    }
  }

  /** Returns whether a requester can open a session with any host. */
  private static boolean isServed(Hosts hosts, Record record) {
    boolean served = false;
    for (Hosts.Host host : hosts.all()) {
      try (Requester session = new Requester(hosts.front(host), "db1")) {
        record.line("a requester has a session with %s: state %s", host.name, session.state());
        served = true;
      } catch (IOException refused) {
        record.line("a requester has no session with %s: %s", host.name, refused.getMessage());
      }
    }
    return served;
  }

  /** Returns whether a host accepts connections of other hosts. */
  private static boolean listens(Hosts hosts) {
    for (Hosts.Host host : hosts.all()) {
      try (Socket socket = new Socket()) {
        socket.connect(hosts.inner(host), 50);
        return true;
      } catch (IOException notYet) {
        // The next host may listen.
      }
    }
    return false;
  }

  /** Sends the first configuration, as the operator does, until a host confirms it. */
  private static boolean isConfirmed(Hosts hosts, Record record) {
    long endMillis = record.nowMillis() + WAIT_MILLIS;
    while (record.nowMillis() < endMillis) {
      for (Hosts.Host host : hosts.all()) {
        int status =
            Http.status(hosts.control(host), "/api/Config.Replace", Optional.of(CONFIGURATION));
        record.line("configuration 1 sent to %s: %s", host.name, status == 0 ? "-" : status);
        if (status == 200) {
          return true;
        }
      }
      Deployment.sleep(1_000);
    }
    List<Boolean> running = hosts.all().stream().map(host -> host.process.isAlive()).toList();
    record.line("no confirmation within %d ms; processes run: %s", WAIT_MILLIS, running);
    return false;
  }
}
