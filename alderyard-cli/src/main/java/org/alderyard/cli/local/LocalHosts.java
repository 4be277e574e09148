package org.alderyard.cli.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.alderyard.common.id.Addresses;
import org.alderyard.daemon.DaemonMain;
import org.alderyard.testkit.net.FreePorts;

/**
 * Settings and processes of the hosts of a local system. A host keeps its number when another
 * process at other addresses takes its place.
 */
final class LocalHosts {
  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final String MAX_HEAP = "128m";

  private final SystemPlan plan;
  private final Path folder;
  private final ProcessSet processes;
  // Hosts that are found through seeds have the same inner port at addresses of their own.
  private final int innerPort = FreePorts.next();
  private final List<Instance> instances = new ArrayList<>();
  private int instanceCount;

  LocalHosts(SystemPlan plan, Path folder, ProcessSet processes) {
    this.plan = plan;
    this.folder = folder;
    this.processes = processes;
    for (int host = 0; host < plan.hosts(); host++) {
      instances.add(newInstance("host-" + (host + 1)));
    }
  }

  /** Returns where the control hosts of now are found. */
  private Stream<InetSocketAddress> seeds() {
    return instances.stream().limit(plan.controlHosts()).map(Instance::advertisedInnerAddress);
  }

  /**
   * Name and addresses of the process of a host.
   *
   * @param advertisedInnerAddress where other hosts connect: the inner port, or the link before it
   */
  private record Instance(
      String name,
      InetSocketAddress callerAddress,
      InetSocketAddress innerAddress,
      InetSocketAddress operatorAddress,
      InetSocketAddress advertisedInnerAddress,
      Optional<LoopbackLink> link) {}

  private Instance newInstance(String name) {
    instanceCount++;
    InetSocketAddress innerAddress =
        plan.linked() || !plan.replaceable()
            ? FreePorts.nextAddress()
            : sharedPortAddress(instanceCount);
    Optional<LoopbackLink> link =
        plan.linked()
            ? Optional.of(
                plan.replaceable()
                    ? new LoopbackLink(innerAddress, sharedPortAddress(instanceCount))
                    : new LoopbackLink(innerAddress))
            : Optional.empty();
    return new Instance(
        name,
        FreePorts.nextAddress(),
        innerAddress,
        FreePorts.nextAddress(),
        link.map(LoopbackLink::address).orElse(innerAddress),
        link);
  }

  private InetSocketAddress sharedPortAddress(int number) {
    try {
      byte[] address = {127, 0, 1, (byte) number};
      return new InetSocketAddress(InetAddress.getByAddress(address), innerPort);
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /** Returns the name of the process that a host has now. */
  String name(int host) {
    return instances.get(host).name();
  }

  private Path dataFolder(Instance instance) {
    return folder.resolve(instance.name() + "-data");
  }

  /**
   * Writes the settings of all hosts.
   *
   * @param firstStart whether the control hosts may found the cluster
   */
  void writeSettings(boolean firstStart) {
    write("cluster.key", "local-cluster-key-0123456789");
    write("operator.key", LocalHttp.OPERATOR_KEY);
    for (int host = 0; host < plan.hosts(); host++) {
      writeSettings(host, instances.get(host), firstStart);
    }
  }

  private void writeSettings(int host, Instance instance, boolean firstStart) {
    try {
      Files.createDirectories(dataFolder(instance));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    write(instance.name() + ".ini", settings(host, instance, firstStart));
  }

  private void write(String file, String text) {
    try {
      Files.writeString(folder.resolve(file), text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private String settings(int host, Instance instance, boolean firstStart) {
    boolean control = host < plan.controlHosts();
    String controlHosts = seeds().map(Addresses::text).collect(Collectors.joining(","));
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
        %s = %s
        %s
        %s
        [keys]
        cluster-key-file = cluster.key
        operator-key-file = operator.key
        """;
    return template.formatted(
        instance.name(),
        ZONES.get(host % ZONES.size()),
        control ? "control,proxy" : "proxy",
        Addresses.text(instance.callerAddress()),
        Addresses.text(instance.advertisedInnerAddress()),
        Addresses.text(instance.innerAddress()),
        Addresses.text(instance.operatorAddress()),
        plan.replaceable() ? "seeds" : "hosts",
        controlHosts,
        plan.replaceable() ? "may-found = " + firstStart : "",
        control ? "data-folder = " + instance.name() + "-data" : "");
  }

  void start(int host) {
    start(instances.get(host));
  }

  private void start(Instance instance) {
    Path settings = folder.resolve(instance.name() + ".ini");
    processes.start(
        instance.name(), MAX_HEAP, DaemonMain.class, List.of("--settings", settings.toString()));
  }

  /**
   * Starts a process with an empty disk at addresses of its own, which takes the place of a host.
   * The settings of all hosts name it as a seed when they start again.
   *
   * @return the name of the process that had the place, which still runs
   */
  String startSuccessor(int host) {
    final Instance former = instances.get(host);
    Instance successor = newInstance("host-" + (instanceCount + 1));
    instances.set(host, successor);
    writeSettings(false);
    start(successor);
    return former.name();
  }

  /** Deletes the content of the data folder of a stopped host. */
  void deleteData(int host) {
    Path data = dataFolder(instances.get(host));
    try (Stream<Path> files = Files.walk(data)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
      Files.createDirectories(data);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  List<InetSocketAddress> callerPorts() {
    return instances.stream().map(Instance::callerAddress).toList();
  }

  /** Returns the links in front of the inner ports, by host; empty if links are disabled. */
  List<LoopbackLink> links() {
    return instances.stream().flatMap(instance -> instance.link().stream()).toList();
  }

  List<InetSocketAddress> operatorPorts() {
    return instances.stream().map(Instance::operatorAddress).toList();
  }
}
