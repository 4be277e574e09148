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
import org.alderyard.backend.LogProgress;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.ManualClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.proxy.view.ViewHolder;
import org.junit.jupiter.api.Test;

/** Tests how often the servers of groups are polled that are in use or idle. */
class GroupMonitorTest {
  private static final Duration SHORT_INTERVAL = Duration.ofMillis(20);
  private static final Duration LONG_INTERVAL = Duration.ofMillis(500);
  private static final GroupId BUSY = new GroupId("busy");
  private static final GroupId IDLE = new GroupId("quiet");

  private final ManualClock clock = new ManualClock();
  private final CountingAdmin admin = new CountingAdmin();
  private final ViewHolder views = new ViewHolder();
  private final GroupMonitor monitor =
      new GroupMonitor(views, admin, clock, SHORT_INTERVAL, LONG_INTERVAL);

  /**
   * An idle proxy with nine servers spent more than a tenth of a core on polling. Only groups that
   * callers of this proxy use need positions at the short interval.
   */
  @Test
  void onlyGroupsInUseArePolledAtShortInterval() {
    views.updateIfNewer(view());
    for (int round = 0; round < 100; round++) {
      monitor.recordUse(BUSY);
      step();
    }
    assertThat(admin.requestsByPort.get(1)).isEqualTo(100);
    assertThat(admin.requestsByPort.get(2)).isEqualTo(4);
  }

  @Test
  void groupIsPolledAtLongIntervalAfterUse() {
    views.updateIfNewer(view());
    monitor.recordUse(BUSY);
    for (int round = 0; round < 250; round++) {
      step();
    }
    int requestsInUse = admin.requestsByPort.get(1);
    assertThat(requestsInUse).isEqualTo(250);
    for (int round = 0; round < 100; round++) {
      step();
    }
    assertThat(admin.requestsByPort.get(1) - requestsInUse).isEqualTo(4);
  }

  private void step() {
    monitor.pollAll();
    clock.advance(SHORT_INTERVAL);
  }

  private static View view() {
    return new View(
        new ViewVersion(1, 1),
        Map.of(),
        Map.of(BUSY, group(BUSY), IDLE, group(IDLE)),
        Map.of(new ServerId("s1"), server(1, BUSY), new ServerId("s2"), server(2, IDLE)),
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

  /** Answers immediately and counts requests by port. */
  private static final class CountingAdmin implements ServerAdmin {
    final Map<Integer, Integer> requestsByPort = new TreeMap<>();

    @Override
    public CompletableFuture<ServerReport> state(InetSocketAddress server, Duration timeout) {
      requestsByPort.merge(server.getPort(), 1, Integer::sum);
      return CompletableFuture.completedFuture(
          new ServerReport(
              new ServerId("s" + server.getPort()),
              1,
              server.getPort() == 1 ? BUSY : IDLE,
              1,
              ServerRole.REPLICA,
              Position.NONE,
              Position.NONE,
              List.of(),
              false));
    }

    @Override
    public CompletableFuture<ServerReport> awaitPosition(
        InetSocketAddress server, Position position, LogProgress progress, Duration wait) {
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
