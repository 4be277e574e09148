package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.alderyard.proxy.callersession.WaitingStatements.Need;
import org.junit.jupiter.api.Test;

class WaitingStatementsTest {
  private final WaitingStatements waiting = new WaitingStatements();
  private final List<String> woken = new ArrayList<>();

  private WaitingStatements.Waiter add(String name, Need need, int priority, long deadlineNanos) {
    return waiting.add(need, priority, deadlineNanos, () -> woken.add(name));
  }

  @Test
  void firstPriorityComesFirstAndThenWhoHasLeastTime() {
    add("late", Need.LEAD, 1, 300);
    add("soon", Need.LEAD, 1, 100);
    add("important", Need.LEAD, 0, 900);

    waiting.wake(Need.LEAD, 3);

    assertThat(woken).containsExactly("important", "soon", "late").inOrder();
  }

  @Test
  void asManyAreWokenAsAskedForAndTheOthersWaitOn() {
    add("a", Need.READ, 1, 100);
    add("b", Need.READ, 1, 200);

    waiting.wake(Need.READ, 1);

    assertThat(woken).containsExactly("a");
    assertThat(waiting.size(Need.READ)).isEqualTo(1);
  }

  @Test
  void whatOneKindWaitsForDoesNotWakeTheOther() {
    add("write", Need.LEAD, 1, 100);

    waiting.wake(Need.READ, 5);

    assertThat(woken).isEmpty();
  }

  @Test
  void equalOnesAreKeptApart() {
    add("a", Need.LEAD, 1, 100);
    add("b", Need.LEAD, 1, 100);

    waiting.wake(Need.LEAD, 2);

    assertThat(woken).containsExactly("a", "b").inOrder();
  }

  @Test
  void oneThatStoppedWaitingIsNotWoken() {
    WaitingStatements.Waiter waiter = add("a", Need.LEAD, 1, 100);

    assertThat(waiting.remove(waiter)).isTrue();
    waiting.wake(Need.LEAD, 1);

    assertThat(woken).isEmpty();
    assertThat(waiting.remove(waiter)).isFalse();
  }
}
