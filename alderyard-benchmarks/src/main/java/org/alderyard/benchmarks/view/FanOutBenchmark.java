package org.alderyard.benchmarks.view;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.wire.ClusterKey;
import org.alderyard.protocol.wire.EventLoops;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.protocol.wire.ProtocolOptions;
import org.alderyard.proxy.view.ViewClient;
import org.alderyard.proxy.view.ViewHolder;

/**
 * Measures the cost of subscribers for a control host, and of the view for each subscriber.
 *
 * <p>The control host runs in a separate process, so that the operating system accounts for its
 * bytes and processor time. The subscribers run the production client in this process.
 */
final class FanOutBenchmark {
  private static final int[] SUBSCRIBERS = {50, 200, 500, 1_000};
  private static final int IDLE_SECONDS = 10;
  private static final int TICKETS = 200;
  private static final int TICKET_PAUSE_MILLIS = 50;
  private static final int SETTLE_DELAY_MILLIS = 1_000;
  private static final double MIB = 1024.0 * 1024;

  private final MonotonicClock clock = MonotonicClock.system();

  void run(Path folder, PrintStream out) throws IOException, InterruptedException {
    out.println(
        "fan-out: one control process; idle and per ticket, beyond idle; us = processor time");
    out.println(
        "  subs  idle-B/s/sub  idle-us/s/sub  B/ticket/sub  us/ticket/sub  control-RSS-MiB"
            + "  sub-idle-us/s  sub-us/ticket  sub-heap-KiB");
    for (int count : SUBSCRIBERS) {
      Path sub = Files.createDirectories(folder.resolve("fan-out-" + count));
      out.println(measure(sub, count));
    }
  }

  /** Cumulative resource usage at one point in time. */
  private record ResourceUsage(long nanos, long controlBytes, long controlMicros, long ownMicros) {}

  private ResourceUsage resourceUsage(BenchCluster cluster) {
    return new ResourceUsage(
        clock.nowNanos(),
        cluster.control().bytes(),
        cluster.control().processorTime().toNanos() / 1_000,
        ownMicros());
  }

  private static long ownMicros() {
    var system =
        (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return system.getProcessCpuTime() / 1_000;
  }

  private static long heapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private String measure(Path folder, int count) throws IOException, InterruptedException {
    try (BenchCluster cluster = new BenchCluster(folder, 1);
        WorkerPool workers = new WorkerPool("subscriber", 2);
        EventLoops loops = new EventLoops(2)) {
      cluster.start();
      cluster.awaitHosts(1);
      final long heapBefore = heapBytes();
      List<AutoCloseable> subscribers = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        subscribers.addAll(subscribe(cluster, workers, loops, i));
      }
      cluster.awaitHosts(count + 1);
      // Warms up the control process: JIT compilation would otherwise count as idle cost.
      submit(cluster, 1);
      Thread.sleep(SETTLE_DELAY_MILLIS);
      final ResourceUsage start = resourceUsage(cluster);
      Thread.sleep(Duration.ofSeconds(IDLE_SECONDS).toMillis());
      final ResourceUsage idle = resourceUsage(cluster);
      submit(cluster, TICKETS + 1);
      Thread.sleep(SETTLE_DELAY_MILLIS);
      final ResourceUsage loaded = resourceUsage(cluster);
      double heapKib = (heapBytes() - heapBefore) / 1024.0 / count;
      String line = line(count, start, idle, loaded, cluster.control().residentBytes(), heapKib);
      closeAll(subscribers);
      return line;
    }
  }

  private static void submit(BenchCluster cluster, int first)
      throws IOException, InterruptedException {
    for (int number = first; number < first + TICKETS; number++) {
      cluster.submit(0, number);
      Thread.sleep(TICKET_PAUSE_MILLIS);
    }
  }

  private List<AutoCloseable> subscribe(
      BenchCluster cluster, WorkerPool workers, EventLoops loops, int number) {
    HostId id = new HostId("sub-" + number);
    PeerLinks links =
        new PeerLinks(
            loops,
            new ProtocolOptions(
                BenchCluster.CLUSTER_ID,
                id,
                1,
                new ClusterKey(BenchCluster.CLUSTER_KEY.getBytes(StandardCharsets.UTF_8)),
                Duration.ofSeconds(5),
                64));
    InetSocketAddress unusedAddress = new InetSocketAddress("127.0.0.1", 1);
    HostState self =
        new HostState(
            id, 1, new ZoneName("zone-a"), unusedAddress, unusedAddress, true, false, false);
    ControlClient control = new ControlClient(links, List.of(cluster.controlAddress()), workers);
    ViewClient client =
        new ViewClient(
            control, control, self, new ViewHolder(), workers, clock, InstantSource.system());
    client.start();
    return List.of(links);
  }

  private static String line(
      int count,
      ResourceUsage start,
      ResourceUsage idle,
      ResourceUsage loaded,
      long residentBytes,
      double heapKib) {
    double idleSeconds = (idle.nanos() - start.nanos()) / 1e9;
    double loadedSeconds = (loaded.nanos() - idle.nanos()) / 1e9;
    double idleBytes = (idle.controlBytes() - start.controlBytes()) / idleSeconds;
    double idleMicros = (idle.controlMicros() - start.controlMicros()) / idleSeconds;
    double ownIdle = (idle.ownMicros() - start.ownMicros()) / idleSeconds;
    double bytes = loaded.controlBytes() - idle.controlBytes() - idleBytes * loadedSeconds;
    double micros = loaded.controlMicros() - idle.controlMicros() - idleMicros * loadedSeconds;
    double own = loaded.ownMicros() - idle.ownMicros() - ownIdle * loadedSeconds;
    double deliveries = (double) count * TICKETS;
    return String.format(
        "  %4d  %12.0f  %13.0f  %12.0f  %13.1f  %15.1f  %13.0f  %13.1f  %12.1f",
        count,
        idleBytes / count,
        idleMicros / count,
        bytes / deliveries,
        micros / deliveries,
        residentBytes / MIB,
        ownIdle / count,
        own / deliveries,
        heapKib);
  }

  private static void closeAll(List<AutoCloseable> resources) throws IOException {
    for (AutoCloseable resource : resources) {
      try {
        resource.close();
      } catch (Exception failure) {
        throw new IOException(failure);
      }
    }
  }
}
