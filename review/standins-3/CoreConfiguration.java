import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The operator of a core: sends configurations until they are confirmed, and reads them back. */
final class CoreConfiguration {
  private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

  private final Hosts hosts;
  private final Record record;

  CoreConfiguration(Hosts hosts, Record record) {
    this.hosts = hosts;
    this.record = record;
  }

  /** Sends a version to the running hosts until one confirms it. */
  boolean confirm(int version, long millis) {
    long endMillis = record.nowMillis() + millis;
    while (record.nowMillis() < endMillis) {
      for (Hosts.Host host : hosts.all()) {
        if (isRunning(host) && send(host, version)) {
          record.line("configuration %d confirmed by %s", version, host.name);
          return true;
        }
      }
      Deployment.sleep(200);
    }
    record.line("configuration %d was not confirmed within %d ms", version, millis);
    return false;
  }

  private boolean send(Hosts.Host host, int version) {
    String body =
        ("{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"db1\",\"path_prefix\":\"/\","
                + "\"route_type\":\"primary\",\"timeout_ms\":1000,\"target_latency_ms\":200,"
                + "\"priority\":1,\"service\":\"svc1\",\"max_attempts\":2}],"
                + "\"services\":[{\"name\":\"svc1\",\"health_path\":\"/health\","
                + "\"max_connections\":34,\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}")
            .formatted(version);
    return Http.status(hosts.control(host), "/api/Config.Replace", Optional.of(body)) == 200;
  }

  private static boolean isRunning(Hosts.Host host) {
    return host.process != null && host.process.isAlive();
  }

  /** Reads the configuration at all running hosts until one returns it; 0 if none does. */
  int read(long millis) {
    long endMillis = record.nowMillis() + millis;
    while (record.nowMillis() < endMillis) {
      for (Hosts.Host host : hosts.all()) {
        Optional<String> document =
            isRunning(host) ? Http.read(hosts.control(host), "/api/Config.Fetch") : Optional.empty();
        Matcher matcher = VERSION.matcher(document.orElse(""));
        if (matcher.find()) {
          record.line("%s returns configuration %s", host.name, matcher.group(1));
          return Integer.parseInt(matcher.group(1));
        }
      }
      Deployment.sleep(500);
    }
    record.line("no host returns a configuration within %d ms", millis);
    return 0;
  }
}
