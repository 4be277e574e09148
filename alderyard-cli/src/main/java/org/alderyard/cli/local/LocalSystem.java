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

/** Hosts and stand-in servers as processes, and the faults that can be done to them. */
public final class LocalSystem implements AutoCloseable {
  /** The pools that the first ticket creates, before the same groups. */
  public static final List<String> POOLS = List.of("listings-db", "ledger-new");

  private static final String TOKEN_KEY = "bG9jYWwtdG9rZW4ta2V5LTAxMg==";
  private static final int WARM_UP_KEYS = 12;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration POLL = Duration.ofMillis(100);
  private static final String SWITCHES = "/stand-in/switches";

  private final SystemPlan plan;
  private final Path folder;
  private final ProcessSet processes;
  private final LocalHosts hosts;
  private final LocalServers servers;
  private final LocalHttp http = new LocalHttp();
  private final InstantSource wallClock = InstantSource.system();

  /** Prepares a system whose settings, data and logs stand in the folder. */
  public LocalSystem(SystemPlan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
    processes = new ProcessSet(folder);
    hosts = new LocalHosts(plan, folder, processes);
    servers = new LocalServers(plan, folder, processes, hosts.callerPorts());
  }

  /** Starts everything and returns once every proxy writes to every group. */
  public void start() throws IOException {
    hosts.writeSettings();
    for (int host = 0; host < plan.hosts(); host++) {
      hosts.start(host);
    }
    servers.startAll();
    await("the hosts", () -> hosts.callerPorts().stream().allMatch(this::ready));
    // The same ticket can be sent again after a lost answer: its first answer is given again.
    await("the ticket", () -> http.put(operatorPort(0), "/v1/tickets/1", ticket()).isPresent());
    await("the primaries", () -> plan.groups().stream().allMatch(g -> primaryOf(g).isPresent()));
    await("writes on all proxies", () -> hosts.callerPorts().stream().allMatch(this::writes));
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

  private boolean ready(InetSocketAddress callerPort) {
    return http.get(callerPort, "/ready").isPresent();
  }

  /**
   * Returns whether a proxy writes to every group, with request ids of all owners: an owner refuses
   * ids for some seconds after it joined. The keys of the warm-up are used no more.
   */
  private boolean writes(InetSocketAddress callerPort) {
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

  /** Waits for a condition; a process that ended meanwhile is an error at once. */
  private void await(String what, BooleanSupplier condition) {
    long polls = START_TIMEOUT.dividedBy(POLL);
    for (long poll = 0; poll < polls; poll++) {
      if (condition.getAsBoolean()) {
        return;
      }
      processes.ended().ifPresent(this::reject);
      LockSupport.parkNanos(POLL.toNanos());
    }
    throw AlderyardException.notRun(
        ErrorCode.DEADLINE_EXCEEDED, "waited for " + what + " in vain; logs: " + folder);
  }

  private void reject(String ended) {
    throw AlderyardException.notRun(
        ErrorCode.INTERNAL,
        ended + " ended during the start; its log: " + folder.resolve(ended + ".log"));
  }

  /** Returns the primary of a group, as the last host that answers sees it. */
  public Optional<String> primaryOf(String group) {
    for (int host = plan.hosts() - 1; host >= 0; host--) {
      Optional<JsonNode> answer = http.get(operatorPort(host), "/v1/groups");
      if (answer.isPresent()) {
        return primaryIn(answer.get(), group);
      }
    }
    return Optional.empty();
  }

  private static Optional<String> primaryIn(JsonNode answer, String group) {
    for (JsonNode node : answer.path("groups")) {
      if (node.path("id").asText().equals(group)) {
        return Optional.ofNullable(node.path("primary").textValue());
      }
    }
    return Optional.empty();
  }

  /** Returns the primary of a group; a failover that runs at the moment is waited for. */
  public String awaitPrimaryOf(String group) {
    await("a primary of " + group, () -> primaryOf(group).isPresent());
    return primaryOf(group).orElse("");
  }

  /** Returns the plan. */
  public SystemPlan plan() {
    return plan;
  }

  /** Returns the callers' ports, by host. */
  public List<InetSocketAddress> callerPorts() {
    return hosts.callerPorts();
  }

  /** Returns the operators' port of a host. */
  public InetSocketAddress operatorPort(int host) {
    return hosts.operatorPorts().get(host);
  }

  /** Returns the client for requests to any process. */
  public LocalHttp http() {
    return http;
  }

  /** Returns the names of all servers. */
  public List<String> serverNames() {
    return servers.names();
  }

  /** Returns the links before the hosts' inner ports, by host; none without links. */
  public List<LoopbackLink> hostLinks() {
    return hosts.links();
  }

  /** Returns the link before a server. */
  public Optional<LoopbackLink> serverLink(String name) {
    return Optional.ofNullable(servers.links().get(name));
  }

  /** Ends a server at once. */
  public void killServer(String name) {
    processes.kill(name);
  }

  /** Starts a killed server again. */
  public void restartServer(String name) {
    servers.restart(name);
  }

  /** Sets fault switches of a server; returns what it answers, also how much it has run. */
  public Optional<JsonNode> switchServer(String name, JsonNode switches) {
    return http.post(servers.address(name), SWITCHES, switches);
  }

  /** Ends a host at once. */
  public void killHost(int host) {
    processes.kill(LocalHosts.name(host));
  }

  /** Asks a host to end and waits until it has. */
  public void stopHost(int host) {
    processes.stop(LocalHosts.name(host));
  }

  /** Empties the data folder of a host that was ended. */
  public void wipeHost(int host) {
    hosts.wipe(host);
  }

  /** Starts a host that was ended, and waits until it takes work. */
  public void startHost(int host) {
    hosts.start(host);
    await(LocalHosts.name(host), () -> ready(hosts.callerPorts().get(host)));
  }

  /** Stops a host or server from running; {@link #resume} ends that. */
  public void pause(String process) {
    processes.pause(process);
  }

  /** Lets a paused host or server run again. */
  public void resume(String process) {
    processes.resume(process);
  }

  /** Returns the name of a host's process. */
  public static String hostName(int host) {
    return LocalHosts.name(host);
  }

  @Override
  public void close() {
    processes.close();
    hosts.links().forEach(LoopbackLink::close);
    servers.links().values().forEach(LoopbackLink::close);
  }
}
