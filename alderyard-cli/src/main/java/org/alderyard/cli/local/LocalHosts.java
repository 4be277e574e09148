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
import org.alderyard.common.id.Addresses;
import org.alderyard.daemon.DaemonMain;
import org.alderyard.testkit.net.FreePorts;

/** Settings and processes of the hosts of a local system. */
final class LocalHosts {
  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final String MAX_HEAP = "128m";

  private final SystemPlan plan;
  private final Path folder;
  private final ProcessSet processes;
  private final List<InetSocketAddress> callerPorts = new ArrayList<>();
  private final List<InetSocketAddress> innerPorts = new ArrayList<>();
  private final List<InetSocketAddress> operatorPorts = new ArrayList<>();
  // Address at which other hosts connect to each host: the inner port, or the link in front of it.
  private final List<InetSocketAddress> advertisedInnerAddresses = new ArrayList<>();
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
        advertisedInnerAddresses.add(links.get(host).address());
      } else {
        advertisedInnerAddresses.add(innerPorts.get(host));
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
        advertisedInnerAddresses.stream()
            .limit(plan.controlHosts())
            .map(Addresses::text)
            .collect(Collectors.joining(","));
    String template =
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
    return template.formatted(
        name(host),
        ZONES.get(host % ZONES.size()),
        control ? "control,proxy" : "proxy",
        Addresses.text(callerPorts.get(host)),
        Addresses.text(advertisedInnerAddresses.get(host)),
        Addresses.text(innerPorts.get(host)),
        Addresses.text(operatorPorts.get(host)),
        hosts,
        control ? "data-folder = " + name(host) + "-data" : "");
  }

  void start(int host) {
    Path settings = folder.resolve(name(host) + ".ini");
    processes.start(
        name(host), MAX_HEAP, DaemonMain.class, List.of("--settings", settings.toString()));
  }

  /** Deletes the content of the data folder of a stopped host. */
  void deleteData(int host) {
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

  /** Returns the links in front of the inner ports, by host; empty if links are disabled. */
  List<LoopbackLink> links() {
    return List.copyOf(links);
  }

  List<InetSocketAddress> operatorPorts() {
    return List.copyOf(operatorPorts);
  }
}
