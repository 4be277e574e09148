package org.alderyard.protocol.view;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Version;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.alderyard.protocol.generated.state.ViewDeltas;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.alderyard.protocol.view.ViewFollower.Reason;
import org.junit.jupiter.api.Test;

/** Deltas that are lost, repeated, late or from another history. */
class ViewFollowerTest {
  private final List<ViewDelta> deltas = new ArrayList<>();

  ViewFollowerTest() {
    var hash = ViewChain.START;
    for (int number = 1; number <= 5; number++) {
      ViewDelta delta =
          ViewChain.link(hash, version(number - 1), version(number), List.of(group(number)));
      hash = delta.getChainHash();
      deltas.add(delta);
    }
  }

  private static Version version(long number) {
    return Version.newBuilder().setEpoch(number == 0 ? 0 : 1).setVersion(number).build();
  }

  private static ObjectState group(int slots) {
    return ObjectState.newBuilder()
        .setGroup(Group.newBuilder().setId("g1").setSlotsPerServer(slots))
        .build();
  }

  private ViewFollower.Result deliver(ViewFollower follower, ViewDelta... sent) {
    return follower.accept(ViewDeltas.newBuilder().addAllDeltas(List.of(sent)).build());
  }

  @Test
  void repeatedAndLateDeltasChangeNothing() {
    ViewFollower follower = deliver(ViewFollower.EMPTY, deltas.get(0), deltas.get(1)).follower();

    var repeated = deliver(follower, deltas.get(0), deltas.get(1));

    assertThat(repeated.reason()).isEqualTo(Reason.NOTHING_NEW);
    assertThat(repeated.follower()).isSameInstanceAs(follower);
    assertThat(deliver(follower, deltas.get(1), deltas.get(2)).reason()).isEqualTo(Reason.ADVANCED);
  }

  /** Guards against a lost delta whose changes would be missing in every later view. */
  @Test
  void lostDeltaIsReportedAsGapAndRepairedBySnapshot() {
    ViewFollower follower = deliver(ViewFollower.EMPTY, deltas.get(0)).follower();

    var afterGap = deliver(follower, deltas.get(2));

    assertThat(afterGap.reason()).isEqualTo(Reason.GAP);
    assertThat(afterGap.needsSnapshot()).isTrue();
    assertThat(afterGap.follower()).isEqualTo(follower);
    ViewSnapshot snapshot =
        ViewSnapshot.newBuilder().setVersion(version(3)).addObjects(group(3)).build();
    var afterSnapshot = follower.accept(snapshot, deltas.get(2).getChainHash());
    assertThat(afterSnapshot.reason()).isEqualTo(Reason.ADVANCED);
    assertThat(deliver(afterSnapshot.follower(), deltas.get(3)).reason())
        .isEqualTo(Reason.ADVANCED);
    assertThat(afterSnapshot.follower().accept(snapshot, deltas.get(2).getChainHash()).reason())
        .isEqualTo(Reason.NOTHING_NEW);
  }

  /**
   * A control host with another history sends a delta of the expected version with other content.
   */
  @Test
  void deltaFromAnotherHistoryIsRefused() {
    ViewFollower follower = deliver(ViewFollower.EMPTY, deltas.get(0)).follower();
    ViewDelta other =
        ViewChain.link(deltas.get(3).getChainHash(), version(1), version(2), List.of(group(9)));

    assertThat(deliver(follower, other).reason()).isEqualTo(Reason.CHAIN_BROKEN);
  }

  @Test
  void contentThatDiffersFromItsHashIsRefused() {
    ViewFollower follower = deliver(ViewFollower.EMPTY, deltas.get(0)).follower();
    ViewDelta damaged = deltas.get(1).toBuilder().clearObjects().addObjects(group(9)).build();

    var result = deliver(follower, damaged);

    assertThat(result.reason()).isEqualTo(Reason.CONTENT_DAMAGED);
    assertThat(result.follower()).isEqualTo(follower);
  }
}
