package org.alderyard.cli.local;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;

/** Hosts and stand-in servers that run as local processes, with methods to inject faults. */
public final class LocalSystem implements AutoCloseable {
  /** The pools that the first ticket creates; all of them contain the same groups. */
  public static final List<String> POOLS = List.of("listings-db", "ledger-new");

  private static final String TOKEN_KEY = "bG9jYWwtdG9rZW4ta2V5LTAxMg==";
  private static final int WARM_UP_KEYS = 12;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final String SWITCHES_PATH = "/stand-in/switches";

  private final SystemPlan plan;
  private final Path folder;
  private final ProcessSet processes;
  private final LocalHosts hosts;
  private final LocalServers servers;
  private final LocalHttp http = new LocalHttp();
  private final InstantSource wallClock = InstantSource.system();

  /** Creates a system that stores its settings, data and logs in the folder. */
  public LocalSystem(SystemPlan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
    processes = new ProcessSet(folder);
    hosts = new LocalHosts(plan, folder, processes);
    servers = new LocalServers(plan, folder, processes, hosts.callerPorts());
  }

  /** Starts all processes and waits until every proxy can write to every group. */
  public void start() throws IOException {
    hosts.writeSettings(true);
    for (int host = 0; host < plan.hosts(); host++) {
      hosts.start(host);
    }
    servers.startAll();
    await("the hosts to be ready", () -> hosts.callerPorts().stream().allMatch(this::isReady));
    // The ticket can be resent after a lost response: the first response is returned again.
    await(
        "the ticket to be accepted",
        () -> http.put(operatorPort(0), "/v1/tickets/1", ticket()).isPresent());
    await(
        "a primary in every group",
        () -> plan.groups().stream().allMatch(g -> primaryOf(g).isPresent()));
    await(
        "all proxies to accept writes",
        () -> hosts.callerPorts().stream().allMatch(this::acceptsWrites));
    hosts.writeSettings(false);
  }

  private String ticket() {
    StringBuilder objects = new StringBuilder();
    for (String group : plan.groups()) {
      objects.append("{\"kind\":\"group\",\"id\":\"").append(group).append("\"},");
    }
    String names = plan.groups().stream().map(g -> '"' + g + '"').collect(Collectors.joining(","));
    for (String pool : POOLS) {
      objects.append("{\"kind\":\"pool\",\"name\":\"%s\",\"groups\":[%s]},".formatted(pool, names));
    }
    objects.append(
        "{\"kind\":\"keys\",\"keys\":[{\"id\":1,\"secretBase64\":\"" + TOKEN_KEY + "\"}]}");
    return "{\"objects\":[" + objects + "]}";
  }

  private boolean isReady(InetSocketAddress callerPort) {
    return http.get(callerPort, "/ready").isPresent();
  }

  /**
   * Returns whether a proxy can write to every group with request ids of every owner. An owner
   * rejects request ids for some seconds after it joins. Load runs don't use the warm-up keys.
   */
  private boolean acceptsWrites(InetSocketAddress callerPort) {
    for (int key = 0; key < WARM_UP_KEYS; key++) {
      long nowMillis = wallClock.millis();
      JsonNode write =
          Json.object()
              .put("key", "warm-up-" + key)
              .put("kind", "write")
              .put("statement", "put")
              .put("requestId", callerPort.getPort() + "-" + key + "-" + nowMillis)
              .put("requestedAtMillis", nowMillis)
              .set("parameters", JsonNodeFactory.instance.arrayNode().add(1));
      if (http.post(callerPort, "/v1/pools/" + POOLS.get(0) + "/statements", write).isEmpty()) {
        return false;
      }
    }
    return true;
  }

  /** Polls until a condition holds; fails immediately if a process exits in the meantime. */
  private void await(String expectation, BooleanSupplier condition) {
    long polls = START_TIMEOUT.dividedBy(POLL_INTERVAL);
    for (long poll = 0; poll < polls; poll++) {
      if (condition.getAsBoolean()) {
        return;
      }
      processes.exitedProcess().ifPresent(this::failOnExit);
      LockSupport.parkNanos(POLL_INTERVAL.toNanos());
    }
    throw AlderyardException.notRun(
        ErrorCode.DEADLINE_EXCEEDED, "timed out waiting for " + expectation + "; logs: " + folder);
  }

  private void failOnExit(String processName) {
    throw AlderyardException.notRun(
        ErrorCode.INTERNAL,
        processName + " exited unexpectedly; log file: " + folder.resolve(processName + ".log"));
  }

  /** Returns the primary of a group as reported by the last host that responds. */
  public Optional<String> primaryOf(String group) {
    for (int host = plan.hosts() - 1; host >= 0; host--) {
      Optional<JsonNode> answer = http.get(operatorPort(host), "/v1/groups");
      if (answer.isPresent()) {
        return findPrimary(answer.get(), group);
      }
    }
    return Optional.empty();
  }

  private static Optional<String> findPrimary(JsonNode answer, String group) {
    for (JsonNode node : answer.path("groups")) {
      if (node.path("id").asText().equals(group)) {
        return Optional.ofNullable(node.path("primary").textValue());
      }
    }
    return Optional.empty();
  }

  /** Returns the primary of a group; waits for a failover in progress to complete. */
  public String awaitPrimaryOf(String group) {
    await("a primary of " + group, () -> primaryOf(group).isPresent());
    return primaryOf(group).orElse("");
  }

  /** Returns the size and options of the system. */
  public SystemPlan plan() {
    return plan;
  }

  /** Returns the addresses of the callers' ports, by host. */
  public List<InetSocketAddress> callerPorts() {
    return hosts.callerPorts();
  }

  /** Returns the address of the operators' port of a host. */
  public InetSocketAddress operatorPort(int host) {
    return hosts.operatorPorts().get(host);
  }

  /** Returns the addresses of the operators' ports, by host. */
  public List<InetSocketAddress> operatorPorts() {
    return hosts.operatorPorts();
  }

  /** Returns the HTTP client for requests to hosts and servers. */
  public LocalHttp http() {
    return http;
  }

  /** Returns the names of all servers. */
  public List<String> serverNames() {
    return servers.names();
  }

  /** Returns the links in front of the inner ports, by host; empty if links are disabled. */
  public List<LoopbackLink> hostLinks() {
    return hosts.links();
  }

  /** Returns the link in front of a server, or empty if links are disabled. */
  public Optional<LoopbackLink> serverLink(String name) {
    return Optional.ofNullable(servers.links().get(name));
  }

  /** Kills the process of a server without a graceful shutdown. */
  public void killServer(String name) {
    processes.kill(name);
  }

  /** Restarts a killed server with its existing log. */
  public void restartServer(String name) {
    servers.restart(name);
  }

  /** Sets fault switches of a server; returns its response, which includes its statement count. */
  public Optional<JsonNode> switchServer(String name, JsonNode switches) {
    return http.post(servers.address(name), SWITCHES_PATH, switches);
  }

  /** Kills the process of a host without a graceful shutdown. */
  public void killHost(int host) {
    processes.kill(hosts.name(host));
  }

  /** Shuts a host down gracefully and waits until its process exits. */
  public void stopHost(int host) {
    processes.stop(hosts.name(host));
  }

  /** Deletes the content of the data folder of a stopped host. */
  public void deleteHostData(int host) {
    hosts.deleteData(host);
  }

  /** Starts a stopped host and waits until it is ready. */
  public void startHost(int host) {
    hosts.start(host);
    await(hosts.name(host), () -> isReady(hosts.callerPorts().get(host)));
  }

  /**
   * Starts a process with an empty disk at other addresses, which takes the place of a host, and
   * waits until it is ready.
   *
   * @return the name of the process that had the place, which still runs
   */
  public String startSuccessor(int host) {
    String former = hosts.startSuccessor(host);
    await(hosts.name(host), () -> isReady(hosts.callerPorts().get(host)));
    return former;
  }

  /** Ends a process for good, gracefully or by a kill. */
  public void removeProcess(String process, boolean graceful) {
    if (graceful) {
      processes.stop(process);
    } else {
      processes.kill(process);
    }
  }

  /** Suspends the process of a host or server until {@link #resume}. */
  public void pause(String process) {
    processes.pause(process);
  }

  /** Resumes the suspended process of a host or server. */
  public void resume(String process) {
    processes.resume(process);
  }

  /** Returns the name of the process that a host has now. */
  public String hostName(int host) {
    return hosts.name(host);
  }

  @Override
  public void close() {
    processes.close();
    hosts.links().forEach(LoopbackLink::close);
    servers.links().values().forEach(LoopbackLink::close);
  }
}
