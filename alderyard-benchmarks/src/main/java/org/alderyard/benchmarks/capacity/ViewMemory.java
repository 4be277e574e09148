package org.alderyard.benchmarks.capacity;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.TermStart;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.alderyard.protocol.view.ViewCodec;

/** Measures heap use and encoded size of a view by number of groups, with 3 servers per group. */
public final class ViewMemory {
  private static final int[] GROUPS = {0, 500, 2_000, 5_000, 10_000, 22_000};
  private static final int SERVERS_PER_GROUP = 3;
  private static final int GC_RUNS = 4;

  private ViewMemory() {}

  /** Prints one line per size and the linear fits. */
  public static void main(String[] args) throws Exception {
    double[] x = new double[GROUPS.length];
    double[] heap = new double[GROUPS.length];
    double[] encoded = new double[GROUPS.length];
    System.out.println("groups | heap bytes | encoded bytes");
    for (int i = 0; i < GROUPS.length; i++) {
      byte[] bytes = ViewCodec.snapshot(view(GROUPS[i])).toByteArray();
      long before = usedHeap();
      final View decoded = ViewCodec.view(ViewSnapshot.parseFrom(bytes));
      long after = usedHeap();
      x[i] = GROUPS[i];
      heap[i] = after - before;
      encoded[i] = bytes.length;
      System.out.printf("%d | %.0f | %d%n", decoded.groups().size(), heap[i], bytes.length);
    }
    System.out.println("heap: " + LineFit.through(x, heap).text("bytes a group"));
    System.out.println("encoded: " + LineFit.through(x, encoded).text("bytes a group"));
  }

  private static long usedHeap() {
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static View view(int count) {
    Map<GroupId, GroupState> groups = new TreeMap<>();
    Map<ServerId, ServerState> servers = new TreeMap<>();
    for (int g = 0; g < count; g++) {
      GroupId group = new GroupId("database-group-" + g);
      ServerId primary = new ServerId("server-" + g + "-0");
      groups.put(
          group,
          new GroupState(
              group, 3, Optional.of(primary), List.of(new TermStart(3, 1_000_000)), 5, 35));
      for (int s = 0; s < SERVERS_PER_GROUP; s++) {
        ServerId server = new ServerId("server-" + g + "-" + s);
        servers.put(
            server,
            new ServerState(
                server,
                1_700_000_000_000L,
                group,
                new ZoneName("zone-" + s),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_024 + s),
                ServerStatus.ACTIVE));
      }
    }
    return new View(new ViewVersion(1, 1), Map.of(), groups, servers, Map.of(), List.of());
  }
}
