package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.control.failover.FailoverTable;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.control.PendingPromotion;
import org.alderyard.protocol.generated.control.RestartedServer;
import org.alderyard.protocol.generated.failover.FailoverRecordEntry;
import org.alderyard.protocol.generated.failover.FailoverTableSnapshot;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.GroupLimits;
import org.alderyard.protocol.generated.state.Host;
import org.alderyard.protocol.generated.state.HostPolicy;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Server;
import org.alderyard.protocol.generated.state.Version;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.junit.jupiter.api.Test;

/** Snapshots with objects that a host can't read. */
class OddSnapshotTest {
  private static final String ODD_NAME = "a b";
  private static final GroupId GROUP = new GroupId("g1");

  private final ControlState state = new ControlState(change -> {}, new FailoverTable());

  private static ControlSnapshot.Builder snapshot() {
    return ControlSnapshot.newBuilder()
        .setView(
            ViewSnapshot.newBuilder()
                .setVersion(Version.newBuilder().setEpoch(1).setVersion(7))
                .addObjects(ObjectState.newBuilder().setGroup(Group.newBuilder().setId("g1"))))
        .addPendingPromotions(PendingPromotion.newBuilder().setGroup("g1").setServer("s1"));
  }

  private void restore(ControlSnapshot.Builder snapshot) {
    state.restore(7, snapshot.build().toByteString());
  }

  private void assertRestored() {
    assertThat(state.view().groups().keySet()).containsExactly(GROUP);
    assertThat(state.pendingPromotion(GROUP)).hasValue(new ServerId("s1"));
    ByteString next = state.snapshot();
    assertThat(next.toStringUtf8()).doesNotContain(ODD_NAME);
  }

  /** Guards against a host that never starts again from a snapshot with an odd object. */
  @Test
  void viewKeepsReadableObjects() {
    ControlSnapshot.Builder snapshot = snapshot();
    snapshot
        .getViewBuilder()
        .addObjects(ObjectState.newBuilder().setServer(Server.newBuilder().setId(ODD_NAME)));
    restore(snapshot);
    assertRestored();
  }

  /** The same with the tables beside the view, which later commands read. */
  @Test
  void tablesKeepReadableObjects() {
    FailoverTableSnapshot failovers =
        FailoverTableSnapshot.newBuilder()
            .addRecords(FailoverRecordEntry.newBuilder().setGroup("g1").setTerm(3))
            .addRecords(FailoverRecordEntry.newBuilder().setGroup(ODD_NAME))
            .addRecords(FailoverRecordEntry.newBuilder().setGroup("g2").setPhaseValue(77))
            .build();
    restore(
        snapshot()
            .addRegistrations(Host.newBuilder().setId(ODD_NAME))
            .addHostPolicies(HostPolicy.newBuilder().setId(ODD_NAME))
            .addPendingPromotions(PendingPromotion.newBuilder().setGroup(ODD_NAME).setServer("s1"))
            .addPendingPromotions(PendingPromotion.newBuilder().setGroup("g2").setServer(ODD_NAME))
            .setFailover(failovers.toByteString()));
    assertRestored();
  }

  /** Guards against a host that forgets its configuration and then confirms an older one. */
  @Test
  void configurationIsNeverLeftOut() {
    ControlSnapshot.Builder snapshot = snapshot();
    snapshot
        .getViewBuilder()
        .addObjects(
            ObjectState.newBuilder()
                .setConfiguration(
                    Configuration.newBuilder()
                        .setNumber(3)
                        .addGroups(GroupLimits.newBuilder().setId(ODD_NAME))));
    assertThrows(AlderyardException.class, () -> restore(snapshot));
  }

  /** Guards against a host that never starts again from a snapshot that names a server twice. */
  @Test
  void laterOfTwoRestartsCounts() {
    restore(
        snapshot()
            .addRestartedServers(RestartedServer.newBuilder().setServer("s1").setIncarnation(1))
            .addRestartedServers(RestartedServer.newBuilder().setServer("s1").setIncarnation(2)));
    assertRestored();
    assertThat(state.mayLackCommits(new ServerId("s1"))).isTrue();
  }

  /** Guards against a damaged disk that is taken for an odd entry. */
  @Test
  void damagedBytesStopTheLog() {
    ByteString damaged = ByteString.copyFrom(new byte[] {-1, -1, -1});
    AlderyardException entry =
        assertThrows(AlderyardException.class, () -> state.apply(1, damaged));
    assertThat(entry.code()).isEqualTo(ErrorCode.STORAGE_DAMAGED);
    AlderyardException snapshot =
        assertThrows(AlderyardException.class, () -> state.restore(1, damaged));
    assertThat(snapshot.code()).isEqualTo(ErrorCode.STORAGE_DAMAGED);
  }
}
