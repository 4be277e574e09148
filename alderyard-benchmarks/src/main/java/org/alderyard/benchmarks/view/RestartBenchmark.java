package org.alderyard.benchmarks.view;

import com.google.protobuf.ByteString;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.control.state.ControlState;
import org.alderyard.control.state.TicketObjects;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.state.Endpoint;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Server;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.alderyard.protocol.view.ViewCodec;

/** Measures snapshot size, restore time and time per change by number of groups. */
final class RestartBenchmark {
  private static final int[] GROUPS = {1_000, 5_500, 11_000, 22_000};
  private static final int SERVERS_PER_GROUP = 3;
  private static final int OBJECTS_PER_TICKET = 1_000;
  private static final int ROUNDS = 5;
  private static final int CHANGES = 100;
  private static final double MIB = 1024.0 * 1024;

  private final MonotonicClock clock = MonotonicClock.system();

  void run(PrintStream out) throws com.google.protobuf.InvalidProtocolBufferException {
    out.println("restart: the control state alone, without the log");
    out.println(
        "  groups  servers  stored-MiB  restore-ms  view-MiB  view-read-ms  change-us  heap-MiB");
    for (int groups : GROUPS) {
      measure(out, groups);
    }
  }

  private void measure(PrintStream out, int groups)
      throws com.google.protobuf.InvalidProtocolBufferException {
    long heapBefore = heapBytes();
    ControlState state = stateWithGroups(groups);
    final double heapMib = (heapBytes() - heapBefore) / MIB;
    ByteString stored = state.snapshot();
    ByteString view = ViewCodec.snapshot(state.view()).toByteString();
    long restoreMicros = Long.MAX_VALUE;
    long readMicros = Long.MAX_VALUE;
    for (int round = 0; round < ROUNDS; round++) {
      long start = clock.nowNanos();
      new ControlState(change -> {}).restore(1, stored);
      restoreMicros = Math.min(restoreMicros, micros(start));
      start = clock.nowNanos();
      ViewCodec.view(ViewSnapshot.parseFrom(view));
      readMicros = Math.min(readMicros, micros(start));
    }
    out.printf(
        "  %6d  %7d  %10.2f  %10.1f  %8.2f  %12.1f  %9.0f  %8.1f%n",
        groups,
        groups * SERVERS_PER_GROUP,
        stored.size() / MIB,
        restoreMicros / 1e3,
        view.size() / MIB,
        readMicros / 1e3,
        changeMicros(state),
        heapMib);
  }

  private double changeMicros(ControlState state) {
    long start = clock.nowNanos();
    for (int i = 0; i < CHANGES; i++) {
      apply(state, 10_000_000L + i, 5_000_000L + i, List.of(group(i, 1 + i % 30)));
    }
    return (double) micros(start) / CHANGES;
  }

  private static ControlState stateWithGroups(int groups) {
    ControlState state = new ControlState(change -> {});
    long index = 0;
    List<ObjectState> objects = new ArrayList<>();
    for (int group = 0; group < groups; group++) {
      objects.add(group(group, 40));
      if (objects.size() == OBJECTS_PER_TICKET || group == groups - 1) {
        index++;
        apply(state, index, index, objects);
        objects.clear();
      }
    }
    ControlState stateWithServers = new ControlState(change -> {});
    stateWithServers.restore(index, withServers(state, groups));
    return stateWithServers;
  }

  /** Adds the servers directly to the stored state; one command per server would take minutes. */
  private static ByteString withServers(ControlState state, int groups) {
    try {
      var stored =
          org.alderyard.protocol.generated.control.ControlSnapshot.parseFrom(state.snapshot())
              .toBuilder();
      for (int number = 0; number < groups * SERVERS_PER_GROUP; number++) {
        Server server = server(number);
        stored.getViewBuilder().addObjects(ObjectState.newBuilder().setServer(server));
        stored.addServerLeases(
            org.alderyard.protocol.generated.control.ServerLease.newBuilder()
                .setServer(server.getId())
                .setLeaseMillis(Announcement.getDefaultInstance().getLeaseMillis() + 1_500));
      }
      return stored.build().toByteString();
    } catch (com.google.protobuf.InvalidProtocolBufferException invalidSnapshot) {
      throw new IllegalStateException(invalidSnapshot);
    }
  }

  private static Server server(int number) {
    return Server.newBuilder()
        .setId("server-" + number)
        .setIncarnation(1_700_000_000_000L + number)
        .setGroup("group-" + number / SERVERS_PER_GROUP)
        .setZone("zone-" + number % SERVERS_PER_GROUP)
        .setAddress(Endpoint.newBuilder().setAddress("10.100.200.30").setPort(15_432))
        .build();
  }

  private static ObjectState group(int number, int slots) {
    return ObjectState.newBuilder()
        .setGroup(
            Group.newBuilder()
                .setId("group-" + number)
                .setSlotsPerServer(slots)
                .setConnectionsPerServer(100))
        .build();
  }

  private static void apply(
      ControlState state, long index, long number, List<ObjectState> objects) {
    state.apply(
        index,
        Command.newBuilder()
            .setTicket(TicketObjects.ticket(number, objects))
            .build()
            .toByteString());
  }

  private long micros(long startNanos) {
    return TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - startNanos);
  }

  private static long heapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
