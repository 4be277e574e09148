package org.alderyard.common.view;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.junit.jupiter.api.Test;

/** Which entries of older terms a group's term history shows as lost. */
class LostTailTest {

  @Test
  void entryPastTheStartOfLaterTermIsLost() {
    GroupState group = group(new TermStart(2, 10, 1));
    assertThat(group.lost(new Position(1, 10))).isFalse();
    assertThat(group.lost(new Position(1, 11))).isTrue();
    assertThat(group.lost(new Position(2, 11))).isFalse();
  }

  /**
   * A coordinator sees a change that the primary of term 2 never got to a replica. That primary
   * dies; the next one has a long log of term 1 and missed term 2 altogether. By its index the
   * entry would look held, and the coordinator's next page would silently miss what it had shown.
   */
  @Test
  void entryOfTermThatTheNextPrimaryMissedIsLostAlthoughItsLogIsLonger() {
    GroupState group = group(new TermStart(2, 5, 1), new TermStart(3, 20, 1));
    assertThat(group.lost(new Position(2, 6))).isTrue();
    assertThat(group.lost(new Position(1, 5))).isFalse();
  }

  @Test
  void entryOfTermThatTheNextPrimaryHoldsIsKept() {
    GroupState group = group(new TermStart(2, 5, 1), new TermStart(3, 20, 2));
    assertThat(group.lost(new Position(2, 6))).isFalse();
    assertThat(group.lost(new Position(1, 6))).isTrue();
  }

  private static GroupState group(TermStart... history) {
    long term = history[history.length - 1].term();
    return new GroupState(
        new GroupId("g1"), term, Optional.of(new ServerId("s1")), List.of(history), 5, 35);
  }
}
