package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
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
    ServerId successor = new ServerId("s9");
    table.recordFirstAnnouncement(successor, 500, KNOWN);
    assertThat(table.mayLackCommits(successor)).isFalse();

    table.recordAnnouncement(KNOWN, 200, view(1));
    table.recordFirstAnnouncement(successor, 500, KNOWN);
    assertThat(table.mayLackCommits(successor)).isTrue();
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
