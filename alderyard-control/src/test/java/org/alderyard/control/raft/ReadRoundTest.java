package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.truth.Correspondence;
import org.junit.jupiter.api.Test;

/** Tests the heartbeat rounds that confirm reads. */
class ReadRoundTest {
  private final RaftCluster cluster = new RaftCluster(7, 3);
  private final RaftReplica leader = cluster.runUntilConverged();

  private void requestRead(long readId) {
    cluster.invariants.recordRead(readId);
    leader.core().advanceTo(cluster.nowMillis());
    assertThat(leader.core().requestRead(readId)).isTrue();
    leader.performEffects(false);
  }

  /** Answers the load of many announcements: reads in close succession share one round. */
  @Test
  void readsInCloseSuccessionShareRound() {
    cluster.messages.clear();
    requestRead(1);
    int messagesOfRound = cluster.messages.size();
    assertThat(messagesOfRound).isEqualTo(2);

    cluster.advanceClock(1);
    requestRead(2);
    requestRead(3);
    assertThat(cluster.messages).hasSize(messagesOfRound);

    long waitMillis = leader.core().nextTickMillis() - cluster.nowMillis();
    assertThat(waitMillis).isAtMost(Leadership.MIN_READ_ROUND_INTERVAL_MILLIS);
    cluster.advanceClock(waitMillis);
    cluster.tick(leader, false);
    assertThat(cluster.messages).hasSize(2 * messagesOfRound);
  }

  /** Guards against a read that a round confirms which started before the read. */
  @Test
  void readIsNotConfirmedByRoundInFlight() {
    cluster.messages.clear();
    requestRead(1);
    cluster.advanceClock(1);
    requestRead(2);
    while (!cluster.messages.isEmpty()) {
      var message = cluster.messages.remove(0);
      cluster.replica(message.getTo()).core().receive(message, cluster.nowMillis());
      if (message.getTo() != leader.id) {
        cluster.replica(message.getTo()).performEffects(false);
      }
    }

    assertThat(leader.core().takeEffects().reads())
        .comparingElementsUsing(
            Correspondence.transforming(Effects.ConfirmedRead::readId, "has the id"))
        .containsExactly(1L);
  }
}
