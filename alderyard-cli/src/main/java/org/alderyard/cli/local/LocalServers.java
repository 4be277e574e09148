package org.alderyard.cli.local;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.alderyard.common.id.Addresses;
import org.alderyard.testkit.net.FreePorts;
import org.alderyard.testkit.standin.StandInMain;

/** Stand-in servers of a local system and their processes. */
final class LocalServers {
  private static final int SERVERS_PER_GROUP = 3;
  private static final String MAX_HEAP = "96m";

  private final SystemPlan plan;
  private final Path folder;
  private final ProcessSet processes;
  private final List<InetSocketAddress> entryHosts;
  private final Map<String, Server> servers = new LinkedHashMap<>();

  LocalServers(
      SystemPlan plan, Path folder, ProcessSet processes, List<InetSocketAddress> entryHosts) {
    this.plan = plan;
    this.folder = folder;
    this.processes = processes;
    this.entryHosts = List.copyOf(entryHosts);
    for (String group : plan.groups()) {
      for (int number = 0; number < SERVERS_PER_GROUP; number++) {
        String name = group + "-" + (number + 1);
        Server server = new Server(group, number, FreePorts.nextAddress());
        if (plan.linked()) {
          server.link = Optional.of(new LoopbackLink(server.address));
        }
        servers.put(name, server);
      }
    }
  }

  void startAll() {
    servers.forEach(
        (name, server) -> {
          List<String> roleArguments =
              server.number == 0
                  ? List.of("--primary")
                  : List.of("--follow", Addresses.text(servers.get(server.group + "-1").address));
          start(name, 1, roleArguments);
        });
  }

  /** Restarts a killed server with its existing log file and a new incarnation. */
  void restart(String name) {
    Server server = servers.get(name);
    server.incarnation++;
    start(name, server.incarnation, List.of());
  }

  private void start(String name, int incarnation, List<String> extraArguments) {
    Server server = servers.get(name);
    List<String> arguments = new ArrayList<>();
    arguments.addAll(List.of("--server", name));
    arguments.addAll(List.of("--group", server.group));
    arguments.addAll(List.of("--zone", LocalHosts.ZONES.get(server.number)));
    arguments.addAll(List.of("--listen", Addresses.text(server.address)));
    server.link.ifPresent(
        link -> arguments.addAll(List.of("--announce", Addresses.text(link.address()))));
    arguments.addAll(List.of("--incarnation", Integer.toString(incarnation)));
    arguments.addAll(List.of("--data", folder.resolve(name + ".data").toString()));
    arguments.addAll(List.of("--apply-lag-millis", Integer.toString(plan.applyLagMillis())));
    arguments.addAll(
        List.of(
            "--entry-hosts",
            entryHosts.stream().map(Addresses::text).collect(Collectors.joining(","))));
    arguments.addAll(extraArguments);
    processes.start(name, MAX_HEAP, StandInMain.class, arguments);
  }

  InetSocketAddress address(String name) {
    return servers.get(name).address;
  }

  /** Returns the links in front of the servers, by server; empty if links are disabled. */
  Map<String, LoopbackLink> links() {
    Map<String, LoopbackLink> links = new LinkedHashMap<>();
    servers.forEach((name, server) -> server.link.ifPresent(link -> links.put(name, link)));
    return links;
  }

  List<String> names() {
    return List.copyOf(servers.keySet());
  }

  private static final class Server {
    private final String group;
    private final int number;
    private final InetSocketAddress address;
    private int incarnation = 1;
    private Optional<LoopbackLink> link = Optional.empty();

    Server(String group, int number, InetSocketAddress address) {
      this.group = group;
      this.number = number;
      this.address = address;
    }
  }
}
