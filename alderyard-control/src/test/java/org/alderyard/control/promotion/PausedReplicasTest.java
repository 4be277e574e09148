package org.alderyard.control.promotion;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.junit.jupiter.api.Test;

/** Tests when paused replicas resume. */
class PausedReplicasTest {
  private static final GroupId GROUP = new GroupId("g1");
  private static final ServerState REPLICA = server("s3", ServerStatus.ACTIVE);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final PausedReplicas paused = new PausedReplicas();
  private boolean callPending;

  private static ServerState server(String id, ServerStatus status) {
    return new ServerState(
        new ServerId(id),
        1,
        GROUP,
        new ZoneName("z"),
        new InetSocketAddress("127.0.0.1", 1),
        status);
  }

  private static GroupState group(String primary) {
    return new GroupState(GROUP, 1, Optional.of(new ServerId(primary)), List.of(), 2, 40);
  }

  private static View view(String primary, ServerState replica) {
    View.Editor editor = View.EMPTY.edit();
    editor.groups().put(GROUP, group(primary));
    editor.put(replica);
    return editor.at(new ViewVersion(1, 1));
  }

  private List<ServerState> startResuming(String primary, long nowNanos) {
    return paused.startResuming(view(primary, REPLICA), group -> callPending, nowNanos).stream()
        .map(PausedReplicas.Resumption::server)
        .toList();
  }

  private void pauseDuringSearch() {
    paused.searchStarted(GROUP);
    assertThat(startResuming("s1", 0)).isEmpty();
  }

  @Test
  void replicaResumesAfterSearchWithoutCall() {
    pauseDuringSearch();
    paused.searchEnded(GROUP, List.of(REPLICA), 0);

    assertThat(startResuming("s1", 0)).containsExactly(REPLICA);
  }

  // Guards against a commit that a resumed replica acknowledges before an older call is executed.
  @Test
  void replicaStaysPausedWhileCallMayBeExecuted() {
    pauseDuringSearch();
    callPending = true;
    paused.searchEnded(GROUP, List.of(REPLICA), 0);

    assertThat(startResuming("s1", SECOND)).isEmpty();
    assertThat(startResuming("s1", 3_600 * SECOND)).isEmpty();
    callPending = false;
    assertThat(startResuming("s1", 3_601 * SECOND)).containsExactly(REPLICA);
  }

  @Test
  void failedResumptionIsRepeatedAndOneInFlightIsNot() {
    pauseDuringSearch();
    paused.searchEnded(GROUP, List.of(REPLICA), 0);
    assertThat(startResuming("s1", 0)).hasSize(1);

    assertThat(paused.isResuming(GROUP)).isTrue();
    assertThat(startResuming("s1", SECOND)).isEmpty();
    paused.resumed(GROUP, REPLICA.id(), false);
    assertThat(paused.isResuming(GROUP)).isFalse();
    assertThat(startResuming("s1", 2 * SECOND)).containsExactly(REPLICA);
    paused.resumed(GROUP, REPLICA.id(), true);
    assertThat(startResuming("s1", 3 * SECOND)).isEmpty();
  }

  @Test
  void unreachableReplicaResumesWhenItIsBack() {
    pauseDuringSearch();
    paused.searchEnded(GROUP, List.of(REPLICA), 0);
    ServerState expired = server("s3", ServerStatus.EXPIRED);

    assertThat(paused.startResuming(view("s1", expired), group -> false, 0)).isEmpty();
    assertThat(startResuming("s1", SECOND)).containsExactly(REPLICA);
  }

  @Test
  void replicasOfEarlierLeaderResumeOnceItsSearchHasEnded() {
    paused.addUnknown(GROUP, List.of(REPLICA), 0);

    assertThat(startResuming("s1", PausedReplicas.EARLIER_SEARCH_NANOS - 1)).isEmpty();
    assertThat(startResuming("s1", PausedReplicas.EARLIER_SEARCH_NANOS)).containsExactly(REPLICA);
  }

  // Guards against a commit that a resumed replica acknowledges before the call of an earlier
  // leader is executed.
  @Test
  void replicasOfEarlierLeaderStayPausedWhileItsCallMayBeExecuted() {
    paused.addUnknown(GROUP, List.of(REPLICA), 0);
    callPending = true;

    assertThat(startResuming("s1", PausedReplicas.EARLIER_SEARCH_NANOS)).isEmpty();
  }
}
