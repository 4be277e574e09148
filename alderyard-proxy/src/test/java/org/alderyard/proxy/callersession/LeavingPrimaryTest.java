package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.start.StartLog;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.junit.jupiter.api.Test;

/** Tests for how long a host uses a primary that leaves. */
class LeavingPrimaryTest {
  private static final ZoneName ZONE = new ZoneName("z");
  private static final ServerId PRIMARY = new ServerId("s1");
  private static final GroupState GROUP =
      new GroupState(new GroupId("g1"), 1, Optional.of(PRIMARY), List.of(), 2, 40);
  private static final List<ServerState> LEAVING =
      List.of(
          new ServerState(
              PRIMARY,
              1,
              GROUP.id(),
              ZONE,
              new InetSocketAddress("127.0.0.1", 1),
              ServerStatus.LEAVING));

  private final GroupRouting routing = new GroupRouting(ZONE, new StartLog());

  private boolean isUsedAfterMillis(long millis) {
    return !routing
        .primaryCandidates(LEAVING, GROUP, TimeUnit.MILLISECONDS.toNanos(millis))
        .isEmpty();
  }

  // Guards against new work at a server that has left for long, on a host that was idle meanwhile.
  @Test
  void timeOfLeavingCountsFromTheViewAndNotFromTheFirstStatement() {
    routing.updateServers(LEAVING, 0);

    assertThat(isUsedAfterMillis(6_000)).isFalse();
  }

  @Test
  void leavingPrimaryIsUsedForFiveSeconds() {
    routing.updateServers(LEAVING, 0);
    routing.updateServers(LEAVING, TimeUnit.SECONDS.toNanos(4));

    assertThat(isUsedAfterMillis(5_000)).isTrue();
    assertThat(isUsedAfterMillis(5_001)).isFalse();
  }
}
