package org.alderyard.benchmarks.view;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
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
 * What one control host spends on its subscribers, and each subscriber on its view.
 *
 * <p>The control host is a process of its own, so that the operating system counts its bytes and
 * processor time; the subscribers run the real client in this process.
 */
final class FanOutBenchmark {
  private static final int[] SUBSCRIBERS = {50, 200, 500, 1_000};
  private static final int IDLE_SECONDS = 10;
  private static final int TICKETS = 200;
  private static final int TICKET_PAUSE_MILLIS = 50;
  private static final int SETTLE_MILLIS = 1_000;
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

  /** What has been spent up to one moment. */
  private record Spent(long nanos, long controlBytes, long controlMicros, long ownMicros) {}

  private Spent spent(BenchCluster cluster) {
    return new Spent(
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
      // The compiler's work on the control process would count as the cost of being idle.
      submit(cluster, 1);
      Thread.sleep(SETTLE_MILLIS);
      final Spent start = spent(cluster);
      Thread.sleep(Duration.ofSeconds(IDLE_SECONDS).toMillis());
      final Spent idle = spent(cluster);
      submit(cluster, TICKETS + 1);
      Thread.sleep(SETTLE_MILLIS);
      final Spent loaded = spent(cluster);
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
    InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
    HostState self =
        new HostState(id, 1, new ZoneName("zone-a"), nowhere, nowhere, true, false, false);
    ViewClient client =
        new ViewClient(
            new ControlClient(links, List.of(cluster.controlAddress()), workers),
            self,
            new ViewHolder(),
            workers,
            clock);
    client.start();
    return List.of(links);
  }

  private static String line(
      int count, Spent start, Spent idle, Spent loaded, long residentBytes, double heapKib) {
    double idleSeconds = (idle.nanos() - start.nanos()) / 1e9;
    double loadedSeconds = (loaded.nanos() - idle.nanos()) / 1e9;
    double idleBytes = (idle.controlBytes() - start.controlBytes()) / idleSeconds;
    double idleMicros = (idle.controlMicros() - start.controlMicros()) / idleSeconds;
    double ownIdle = (idle.ownMicros() - start.ownMicros()) / idleSeconds;
    double bytes = loaded.controlBytes() - idle.controlBytes() - idleBytes * loadedSeconds;
    double micros = loaded.controlMicros() - idle.controlMicros() - idleMicros * loadedSeconds;
    double own = loaded.ownMicros() - idle.ownMicros() - ownIdle * loadedSeconds;
    double each = (double) count * TICKETS;
    return String.format(
        "  %4d  %12.0f  %13.0f  %12.0f  %13.1f  %15.1f  %13.0f  %13.1f  %12.1f",
        count,
        idleBytes / count,
        idleMicros / count,
        bytes / each,
        micros / each,
        residentBytes / MIB,
        ownIdle / count,
        own / each,
        heapKib);
  }

  private static void closeAll(List<AutoCloseable> parts) throws IOException {
    for (AutoCloseable part : parts) {
      try {
        part.close();
      } catch (Exception failure) {
        throw new IOException(failure);
      }
    }
  }
}
