package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.Organisations;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.control.ReplicaCaughtUp;
import org.junit.jupiter.api.Test;

/** Tests which servers count as restarted. */
class RestartTableTest {
  private static final GroupId GROUP = new GroupId("g1");
  private static final ServerId ID = new ServerId("s2");
  private static final ServerId SUCCESSOR = new ServerId("s9");
  private static final ServerState KNOWN =
      new ServerState(
          ID,
          100,
          GROUP,
          new ZoneName("z"),
          new InetSocketAddress("127.0.0.1", 1),
          ServerStatus.ACTIVE);

  private final RestartTable table = new RestartTable();

  private static View view(int syncReplicas) {
    View.Editor editor = View.EMPTY.edit();
    editor.configuration(
        new ConfigurationState(
            1,
            List.of(),
            new TreeMap<>(Map.of(GROUP, 40)),
            syncReplicas > 0 ? new TreeMap<>(Map.of(GROUP, syncReplicas)) : new TreeMap<>(),
            0,
            0,
            Organisations.NONE,
            Bytes.of(new byte[0]),
            false,
            Bytes.of(new byte[0])));
    return editor.at(new ViewVersion(1, 1));
  }

  private static ReplicaCaughtUp caughtUp(long incarnation) {
    return ReplicaCaughtUp.newBuilder().setServer(ID.value()).setIncarnation(incarnation).build();
  }

  @Test
  void onlyNewIncarnationInSynchronousGroupIsRecorded() {
    table.recordAnnouncement(KNOWN, 100, view(1));
    table.recordAnnouncement(KNOWN, 200, view(0));
    assertThat(table.mayLackCommits(ID)).isFalse();

    table.recordAnnouncement(KNOWN, 200, view(1));
    assertThat(table.mayLackCommits(ID)).isTrue();
  }

  // Guards against a server that counts as complete by the word of the start before its last one.
  @Test
  void serverThatStartedOnceMoreIsNotCaughtUp() {
    table.recordAnnouncement(KNOWN, 200, view(1));
    table.recordAnnouncement(KNOWN, 300, view(1));

    table.recordCaughtUp(caughtUp(200));
    assertThat(table.mayLackCommits(ID)).isTrue();
    table.recordCaughtUp(caughtUp(300));
    assertThat(table.mayLackCommits(ID)).isFalse();
  }

  // Guards against a successor that counts as complete though it received an incomplete log.
  @Test
  void successorAtTheAddressLacksWhatItsPredecessorLacks() {
    ServerState leaving = known(ServerStatus.LEAVING);
    table.recordFirstAnnouncement(SUCCESSOR, 500, GROUP, leaving, view(1));
    assertThat(table.mayLackCommits(SUCCESSOR)).isFalse();

    table.recordAnnouncement(KNOWN, 200, view(1));
    table.recordFirstAnnouncement(SUCCESSOR, 500, GROUP, leaving, view(1));
    assertThat(table.mayLackCommits(SUCCESSOR)).isTrue();
  }

  /** Guards against an empty server that counts in the place of a crashed one that acknowledged. */
  @Test
  void successorOfCrashedReplicaMayLackCommits() {
    for (ServerStatus crashed : List.of(ServerStatus.ACTIVE, ServerStatus.EXPIRED)) {
      RestartTable fresh = new RestartTable();
      fresh.recordFirstAnnouncement(SUCCESSOR, 500, GROUP, known(crashed), view(1));
      assertThat(fresh.mayLackCommits(SUCCESSOR)).isTrue();
    }
    table.recordFirstAnnouncement(SUCCESSOR, 500, GROUP, KNOWN, view(0));
    table.recordFirstAnnouncement(SUCCESSOR, 500, new GroupId("g2"), KNOWN, view(1));
    assertThat(table.mayLackCommits(SUCCESSOR)).isFalse();
  }

  /** Guards against a group that waits for good: its crashed primary acknowledged for no other. */
  @Test
  void successorAtAddressOfCrashedPrimaryCounts() {
    View.Editor editor = view(1).edit();
    editor.groups().put(GROUP, new GroupState(GROUP, 1, Optional.of(ID), List.of(), 2, 40));
    table.recordFirstAnnouncement(SUCCESSOR, 500, GROUP, KNOWN, editor.at(new ViewVersion(1, 2)));
    assertThat(table.mayLackCommits(SUCCESSOR)).isFalse();
  }

  private static ServerState known(ServerStatus status) {
    return new ServerState(ID, KNOWN.incarnation(), GROUP, KNOWN.zone(), KNOWN.address(), status);
  }

  // Guards against a next leader that takes a restarted replica for complete.
  @Test
  void snapshotHoldsRestartedServers() {
    table.recordAnnouncement(KNOWN, 200, view(1));
    ControlSnapshot.Builder snapshot = ControlSnapshot.newBuilder();
    table.store(snapshot);

    RestartTable restored = new RestartTable();
    restored.restore(snapshot.build());
    assertThat(restored.mayLackCommits(ID)).isTrue();
    restored.remove(ID.value());
    assertThat(restored.mayLackCommits(ID)).isFalse();
  }
}
