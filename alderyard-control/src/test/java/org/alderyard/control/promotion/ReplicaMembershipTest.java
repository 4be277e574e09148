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

  private static ServerState server(String id, int port, ServerStatus status) {
    return new ServerState(
        new ServerId(id),
        1,
        GROUP.id(),
        new ZoneName("z"),
        new InetSocketAddress("127.0.0.1", port),
        status);
  }

  private static List<String> replicas(ServerState... servers) {
    View.Editor editor = View.EMPTY.edit();
    editor.groups().put(GROUP.id(), GROUP);
    List.of(servers).forEach(editor::put);
    return ReplicaMembership.replicasOf(editor.at(new ViewVersion(1, 1)), GROUP).stream()
        .map(server -> server.id().value())
        .toList();
  }

  @Test
  void serversThatLeaveOrExpiredCount() {
    assertThat(
            replicas(
                server("s1", 1, ServerStatus.ACTIVE),
                server("s2", 2, ServerStatus.LEAVING),
                server("s3", 3, ServerStatus.EXPIRED)))
        .containsExactly("s2", "s3");
  }

  // Guards against the loss of acknowledged commits that only a server that left has received,
  // when its successor registers late.
  @Test
  void serverThatLeftCountsUntilSuccessorRegisters() {
    ServerState gone = server("s2", 2, ServerStatus.GONE);

    assertThat(replicas(gone, server("s3", 3, ServerStatus.ACTIVE))).containsExactly("s2", "s3");
    assertThat(replicas(gone, server("s4", 2, ServerStatus.ACTIVE))).containsExactly("s4");
  }

  @Test
  void successorThatLeftTooNeedsSuccessorOfItsOwn() {
    assertThat(replicas(server("s2", 2, ServerStatus.GONE), server("s4", 2, ServerStatus.GONE)))
        .containsExactly("s2", "s4");
  }
}
