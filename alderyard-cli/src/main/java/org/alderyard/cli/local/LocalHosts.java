package org.alderyard.cli.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.alderyard.daemon.DaemonMain;
import org.alderyard.testkit.net.FreePorts;

/** The hosts of a local system: their settings and processes. */
final class LocalHosts {
  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final String MAX_HEAP = "128m";

  private final SystemPlan plan;
  private final Path folder;
  private final ProcessSet processes;
  private final List<InetSocketAddress> callerPorts = new ArrayList<>();
  private final List<InetSocketAddress> innerPorts = new ArrayList<>();
  private final List<InetSocketAddress> operatorPorts = new ArrayList<>();
  // Where other hosts reach each one: its inner port, or the link before it.
  private final List<InetSocketAddress> reached = new ArrayList<>();
  private final List<LoopbackLink> links = new ArrayList<>();

  LocalHosts(SystemPlan plan, Path folder, ProcessSet processes) {
    this.plan = plan;
    this.folder = folder;
    this.processes = processes;
    for (int host = 0; host < plan.hosts(); host++) {
      callerPorts.add(FreePorts.nextAddress());
      innerPorts.add(FreePorts.nextAddress());
      operatorPorts.add(FreePorts.nextAddress());
      if (plan.linked()) {
        links.add(new LoopbackLink(innerPorts.get(host)));
        reached.add(links.get(host).address());
      } else {
        reached.add(innerPorts.get(host));
      }
    }
  }

  static String name(int host) {
    return "host-" + (host + 1);
  }

  private Path dataFolder(int host) {
    return folder.resolve(name(host) + "-data");
  }

  void writeSettings() throws IOException {
    Files.writeString(folder.resolve("cluster.key"), "local-cluster-key-0123456789");
    Files.writeString(folder.resolve("operator.key"), LocalHttp.OPERATOR_KEY);
    for (int host = 0; host < plan.hosts(); host++) {
      Files.createDirectories(dataFolder(host));
      Files.writeString(folder.resolve(name(host) + ".ini"), settings(host));
    }
  }

  private String settings(int host) {
    boolean control = host < plan.controlHosts();
    String hosts =
        reached.stream()
            .limit(plan.controlHosts())
            .map(LocalHttp::text)
            .collect(Collectors.joining(","));
    String text =
        """
        [host]
        id = %s
        zone = %s
        cluster-id = local
        roles = %s
        [network]
        caller-address = %s
        inner-address = %s
        inner-listen-address = %s
        operator-address = %s
        [control]
        hosts = %s
        %s
        [keys]
        cluster-key-file = cluster.key
        operator-key-file = operator.key
        """;
    return text.formatted(
        name(host),
        ZONES.get(host % ZONES.size()),
        control ? "control,proxy" : "proxy",
        LocalHttp.text(callerPorts.get(host)),
        LocalHttp.text(reached.get(host)),
        LocalHttp.text(innerPorts.get(host)),
        LocalHttp.text(operatorPorts.get(host)),
        hosts,
        control ? "data-folder = " + name(host) + "-data" : "");
  }

  void start(int host) {
    Path settings = folder.resolve(name(host) + ".ini");
    processes.start(
        name(host), MAX_HEAP, DaemonMain.class, List.of("--settings", settings.toString()));
  }

  /** Empties the data folder of a host that does not run. */
  void wipe(int host) {
    try (Stream<Path> files = Files.walk(dataFolder(host))) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
      Files.createDirectories(dataFolder(host));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  List<InetSocketAddress> callerPorts() {
    return List.copyOf(callerPorts);
  }

  /** Returns the links before the hosts' inner ports, by host; none without links. */
  List<LoopbackLink> links() {
    return List.copyOf(links);
  }

  List<InetSocketAddress> operatorPorts() {
    return List.copyOf(operatorPorts);
  }
}
