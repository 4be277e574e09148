package org.alderyard.proxy.monitor;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.Progress;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.PausedClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.proxy.view.ViewHolder;
import org.junit.jupiter.api.Test;

/** How often the servers of groups with and without work are asked. */
class GroupMonitorTest {
  private static final Duration FAST = Duration.ofMillis(20);
  private static final Duration SLOW = Duration.ofMillis(500);
  private static final GroupId BUSY = new GroupId("busy");
  private static final GroupId QUIET = new GroupId("quiet");

  private final PausedClock clock = new PausedClock();
  private final CountingAdmin admin = new CountingAdmin();
  private final ViewHolder views = new ViewHolder();
  private final GroupMonitor monitor = new GroupMonitor(views, admin, clock, FAST, SLOW);

  /**
   * An idle proxy with nine servers spent more than a tenth of a core on questions. Only the groups
   * that callers use here need positions at the fast pace.
   */
  @Test
  void onlyGroupsWithWorkAreAskedAtTheFastPace() {
    views.offer(view());
    for (int round = 0; round < 100; round++) {
      monitor.used(BUSY);
      step();
    }
    assertThat(admin.asked.get(1)).isEqualTo(100);
    assertThat(admin.asked.get(2)).isEqualTo(4);
  }

  @Test
  void groupFallsBackToTheSlowPaceWhenItsWorkEnds() {
    views.offer(view());
    monitor.used(BUSY);
    for (int round = 0; round < 250; round++) {
      step();
    }
    int afterWork = admin.asked.get(1);
    assertThat(afterWork).isEqualTo(250);
    for (int round = 0; round < 100; round++) {
      step();
    }
    assertThat(admin.asked.get(1) - afterWork).isEqualTo(4);
  }

  private void step() {
    monitor.askAll();
    clock.advance(FAST);
  }

  private static View view() {
    return new View(
        new ViewVersion(1, 1),
        Map.of(),
        Map.of(BUSY, group(BUSY), QUIET, group(QUIET)),
        Map.of(new ServerId("s1"), server(1, BUSY), new ServerId("s2"), server(2, QUIET)),
        Map.of(),
        List.of());
  }

  private static GroupState group(GroupId id) {
    return new GroupState(id, 1, Optional.empty(), List.of(), 5, 35);
  }

  private static ServerState server(int number, GroupId group) {
    return new ServerState(
        new ServerId("s" + number),
        1,
        group,
        new ZoneName("z"),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), number),
        ServerStatus.ACTIVE);
  }

  /** Answers at once and counts by port. */
  private static final class CountingAdmin implements ServerAdmin {
    final Map<Integer, Integer> asked = new TreeMap<>();

    @Override
    public CompletableFuture<ServerReport> state(InetSocketAddress server, Duration timeout) {
      asked.merge(server.getPort(), 1, Integer::sum);
      return CompletableFuture.completedFuture(
          new ServerReport(
              new ServerId("s" + server.getPort()),
              1,
              server.getPort() == 1 ? BUSY : QUIET,
              1,
              ServerRole.REPLICA,
              Position.NONE,
              Position.NONE,
              List.of(),
              false));
    }

    @Override
    public CompletableFuture<ServerReport> awaitPosition(
        InetSocketAddress server, Position position, Progress progress, Duration wait) {
      throw new AssertionError("the monitor only asks for states");
    }

    @Override
    public CompletableFuture<ServerReport> fence(
        InetSocketAddress server, long term, Duration timeout) {
      throw new AssertionError("the monitor only asks for states");
    }

    @Override
    public CompletableFuture<ServerReport> promote(
        InetSocketAddress server, long term, Duration timeout) {
      throw new AssertionError("the monitor only asks for states");
    }

    @Override
    public CompletableFuture<ServerReport> follow(
        InetSocketAddress server, long term, InetSocketAddress primary, Duration timeout) {
      throw new AssertionError("the monitor only asks for states");
    }
  }
}
