package org.alderyard.control.promotion;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.junit.jupiter.api.Test;

/** Tests which servers of a group count as its replicas. */
class ReplicaMembershipTest {
  private static final GroupState GROUP =
      new GroupState(new GroupId("g1"), 1, Optional.of(new ServerId("s1")), List.of(), 2, 40);

  private final ReplicaMembership membership = new ReplicaMembership();

  private static ServerState server(String id, int port, ServerStatus status) {
    return new ServerState(
        new ServerId(id),
        1,
        GROUP.id(),
        new ZoneName("z"),
        new InetSocketAddress("127.0.0.1", port),
        status);
  }

  private List<String> replicas(long nowNanos, ServerState... servers) {
    View.Editor editor = View.EMPTY.edit();
    editor.groups().put(GROUP.id(), GROUP);
    List.of(servers).forEach(editor::put);
    View view = editor.at(new ViewVersion(1, 1));
    membership.update(view, List.of(GROUP), nowNanos);
    return membership.replicasOf(view, GROUP, nowNanos).stream()
        .map(server -> server.id().value())
        .toList();
  }

  @Test
  void serversThatLeaveOrExpiredCount() {
    assertThat(
            replicas(
                0,
                server("s1", 1, ServerStatus.ACTIVE),
                server("s2", 2, ServerStatus.LEAVING),
                server("s3", 3, ServerStatus.EXPIRED)))
        .containsExactly("s2", "s3");
  }

  @Test
  void serverThatLeftCountsForLimitedTime() {
    ServerState gone = server("s2", 2, ServerStatus.GONE);

    assertThat(replicas(0, gone)).containsExactly("s2");
    assertThat(replicas(ReplicaMembership.GONE_SERVER_NANOS - 1, gone)).containsExactly("s2");
    assertThat(replicas(ReplicaMembership.GONE_SERVER_NANOS, gone)).isEmpty();
  }

  @Test
  void successorAtAddressCountsInPlaceOfServerThatLeft() {
    assertThat(
            replicas(0, server("s2", 2, ServerStatus.GONE), server("s4", 2, ServerStatus.ACTIVE)))
        .containsExactly("s4");
  }
}
