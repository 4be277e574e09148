package org.alderyard.benchmarks.log;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.control.log.ReplicatedLogOptions;
import org.alderyard.control.log.StateMachine;
import org.alderyard.control.raft.LogSize;
import org.alderyard.control.state.ControlState;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.state.Endpoint;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Server;
import org.alderyard.protocol.generated.state.Version;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.alderyard.testkit.net.FreePorts;

/** Measures the time to open a data folder by number of log entries and of snapshot objects. */
final class RestartBenchmark {
  private static final int[] ENTRIES = {1_000, 10_000, 50_000, 200_000};
  private static final int[] GROUPS = {100, 1_000, 5_000, 22_000};
  private static final int SERVERS_PER_GROUP = 3;
  private static final int COMMAND_BYTES = 200;
  private static final int MAX_IN_FLIGHT = 1_000;
  private static final int RUNS = 5;
  private static final int APPLIES = 21;
  private static final long FIRST_INDEX = 1_000;
  private static final long NO_SNAPSHOT = Long.MAX_VALUE;
  private static final double NANOS_PER_MILLI = 1e6;

  private final MonotonicClock clock;
  private final PrintStream out;

  RestartBenchmark(MonotonicClock clock, PrintStream out) {
    this.clock = clock;
    this.out = out;
  }

  void run(Path folder) {
    out.println("| entries of 200 bytes after the snapshot | log bytes | open ms (median of 5) |");
    out.println("|---|---|---|");
    for (int entries : ENTRIES) {
      Path data = folder.resolve("entries-" + entries);
      fill(data, new BenchCluster.CountingMachine(), entries, NO_SNAPSHOT);
      double millis = openMillis(data, BenchCluster.CountingMachine::new);
      out.printf("| %d | %d | %.1f |%n", entries, bytes(data, "log-"), millis);
    }
    out.println();
    out.println(
        "| groups | servers | snapshot bytes | open ms (median of 5) "
            + "| snapshot() ms | apply of one announcement ms (median of 21) |");
    out.println("|---|---|---|---|---|---|");
    for (int groups : GROUPS) {
      Path data = folder.resolve("groups-" + groups);
      ControlState state = new ControlState(change -> {});
      state.restore(1, snapshotOf(groups));
      fill(data, state, 1, 1);
      double millis = openMillis(data, () -> new ControlState(change -> {}));
      out.printf(
          "| %d | %d | %d | %.1f | %.1f | %.2f |%n",
          groups,
          groups * SERVERS_PER_GROUP,
          bytes(data, "snapshot-"),
          millis,
          snapshotMillis(state),
          applyMillis(state));
    }
  }

  /** Runs a single host until all entries, and a snapshot if requested, are written. */
  private void fill(Path data, StateMachine stateMachine, int entries, long snapshotEntries) {
    CompletableFuture<BenchHost> elected = new CompletableFuture<>();
    BenchHost host = open(data, stateMachine, snapshotEntries, elected);
    elected.join();
    ByteString command =
        stateMachine instanceof ControlState
            ? ByteString.EMPTY
            : ByteString.copyFrom(new byte[COMMAND_BYTES]);
    for (int done = 0; done < entries; done += MAX_IN_FLIGHT) {
      int count = Math.min(MAX_IN_FLIGHT, entries - done);
      CompletableFuture<?>[] inFlight = new CompletableFuture<?>[count];
      for (int i = 0; i < count; i++) {
        inFlight[i] = host.log().propose(command);
      }
      CompletableFuture.allOf(inFlight).join();
    }
    if (snapshotEntries != NO_SNAPSHOT) {
      host.awaitSnapshot();
    }
    host.kill();
    host.releaseThreads();
  }

  private double openMillis(Path data, Supplier<StateMachine> stateMachine) {
    double[] millis = new double[RUNS];
    for (int run = 0; run < RUNS; run++) {
      StateMachine fresh = stateMachine.get();
      long startNanos = clock.nowNanos();
      BenchHost host = open(data, fresh, NO_SNAPSHOT, new CompletableFuture<>());
      millis[run] = (clock.nowNanos() - startNanos) / NANOS_PER_MILLI;
      host.kill();
      host.releaseThreads();
    }
    Arrays.sort(millis);
    return millis[RUNS / 2];
  }

  private double snapshotMillis(ControlState state) {
    long startNanos = clock.nowNanos();
    state.snapshot();
    return (clock.nowNanos() - startNanos) / NANOS_PER_MILLI;
  }

  /** Returns the median time to apply an announcement; each one carries a new incarnation. */
  private double applyMillis(ControlState state) {
    double[] millis = new double[APPLIES];
    for (int run = 0; run < APPLIES; run++) {
      Server server = serverOf("group-1", 1).toBuilder().setIncarnation(run + 2).build();
      ByteString command =
          Command.newBuilder()
              .setAnnouncement(Announcement.newBuilder().setServer(server))
              .build()
              .toByteString();
      long startNanos = clock.nowNanos();
      state.apply(FIRST_INDEX + run, command);
      millis[run] = (clock.nowNanos() - startNanos) / NANOS_PER_MILLI;
    }
    Arrays.sort(millis);
    return millis[APPLIES / 2];
  }

  private static BenchHost open(
      Path data,
      StateMachine stateMachine,
      long snapshotEntries,
      CompletableFuture<BenchHost> elected) {
    ReplicatedLogOptions defaults = ReplicatedLogOptions.defaults();
    ReplicatedLogOptions options =
        new ReplicatedLogOptions(
            defaults.raft(),
            defaults.tick(),
            Duration.ofMillis(10),
            defaults.sendTimeout(),
            LogSize.ofEntries(snapshotEntries),
            defaults.keep(),
            defaults.maxPending(),
            defaults.maxCommandBytes());
    return new BenchHost(
        0,
        List.of(FreePorts.nextAddress()),
        data,
        stateMachine,
        options,
        host -> elected.complete(host));
  }

  private static long bytes(Path data, String prefix) {
    try (Stream<Path> files = Files.list(data.resolve("control-0"))) {
      long total = 0;
      for (Path file : files.toList()) {
        total += file.getFileName().toString().startsWith(prefix) ? Files.size(file) : 0;
      }
      return total;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static ByteString snapshotOf(int groups) {
    ViewSnapshot.Builder view =
        ViewSnapshot.newBuilder().setVersion(Version.newBuilder().setEpoch(1).setVersion(1));
    for (int group = 0; group < groups; group++) {
      String name = "group-" + group;
      Group.Builder state =
          Group.newBuilder()
              .setId(name)
              .setTerm(1)
              .setPrimary(name + "-0")
              .setSlotsPerServer(5)
              .setConnectionsPerServer(35);
      view.addObjects(ObjectState.newBuilder().setGroup(state));
      for (int server = 0; server < SERVERS_PER_GROUP; server++) {
        view.addObjects(ObjectState.newBuilder().setServer(serverOf(name, server)));
      }
    }
    return ControlSnapshot.newBuilder().setView(view).build().toByteString();
  }

  private static Server serverOf(String group, int number) {
    return Server.newBuilder()
        .setId(group + "-" + number)
        .setGroup(group)
        .setZone("zone-" + number)
        .setIncarnation(1)
        .setAddress(Endpoint.newBuilder().setAddress("10.0.0.1").setPort(7000))
        .build();
  }
}
