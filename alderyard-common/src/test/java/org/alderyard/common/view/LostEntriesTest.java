package org.alderyard.common.view;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.junit.jupiter.api.Test;

/** Which log entries of older terms the term history of a group marks as lost. */
class LostEntriesTest {

  @Test
  void entryPastTheStartOfLaterTermIsLost() {
    GroupState group = group(new TermStart(2, 10, 1));
    assertThat(group.isLost(new Position(1, 10))).isFalse();
    assertThat(group.isLost(new Position(1, 11))).isTrue();
    assertThat(group.isLost(new Position(2, 11))).isFalse();
  }

  /**
   * Guards against a lost entry that counts as kept. The primary of term 2 fails before it
   * replicates an entry that a coordinator has read; the next primary has a longer log of term 1
   * and no entries of term 2. By its index the entry appears to be held, and the coordinator's next
   * page silently misses it.
   */
  @Test
  void entryOfTermMissingInLongerLogOfNextPrimaryIsLost() {
    GroupState group = group(new TermStart(2, 5, 1), new TermStart(3, 20, 1));
    assertThat(group.isLost(new Position(2, 6))).isTrue();
    assertThat(group.isLost(new Position(1, 5))).isFalse();
  }

  @Test
  void entryOfTermInTheLogOfTheNextPrimaryIsKept() {
    GroupState group = group(new TermStart(2, 5, 1), new TermStart(3, 20, 2));
    assertThat(group.isLost(new Position(2, 6))).isFalse();
    assertThat(group.isLost(new Position(1, 6))).isTrue();
  }

  private static GroupState group(TermStart... history) {
    long term = history[history.length - 1].term();
    return new GroupState(
        new GroupId("g1"), term, Optional.of(new ServerId("s1")), List.of(history), 5, 35);
  }
}
