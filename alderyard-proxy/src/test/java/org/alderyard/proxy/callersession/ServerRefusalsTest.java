package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;
import org.junit.jupiter.api.Test;

class ServerRefusalsTest {
  private static final long START = 1_000_000_000L;

  private final ServerRefusals refusals = new ServerRefusals();

  private static long at(long millis) {
    return START + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @Test
  void serverWithoutSlotIsAskedByOneStatementAfterEachPause() {
    refusals.busy(at(0));
    assertThat(refusals.busyNow(at(3))).isTrue();
    assertThat(refusals.busyNow(at(4))).isFalse();

    refusals.asked(at(4));

    assertThat(refusals.busyNow(at(5))).isTrue();
  }

  @Test
  void pausesGrowToBoundWhileServerStaysBusy() {
    for (int i = 0; i < 20; i++) {
      refusals.busy(at(0));
    }
    assertThat(refusals.busyNow(at(63))).isTrue();
    assertThat(refusals.busyNow(at(64))).isFalse();
  }

  @Test
  void workThatWasTakenEndsThePause() {
    refusals.busy(at(0));
    refusals.tookWork();
    assertThat(refusals.busyNow(at(1))).isFalse();
  }

  @Test
  void replicaIsNotAskedForPositionBeforeItIsExpectedToHaveIt() {
    refusals.lacked(new Position(1, 50), at(0), at(120));

    assertThat(refusals.lacks(new Position(1, 50), at(119))).isTrue();
    assertThat(refusals.lacks(new Position(1, 49), at(119))).isFalse();
    assertThat(refusals.lacks(new Position(1, 50), at(120))).isFalse();
  }

  @Test
  void estimateThatIsFarTooLongCostsBoundedTime() {
    refusals.lacked(new Position(1, 50), at(0), at(9_000));
    assertThat(refusals.lacks(new Position(1, 50), at(250))).isFalse();
  }

  @Test
  void replicaThatShowsThePositionIsAskedAgain() {
    refusals.lacked(new Position(1, 50), at(0), at(120));
    refusals.shows(new Position(1, 49));
    assertThat(refusals.lacks(new Position(1, 50), at(10))).isTrue();
    refusals.shows(new Position(1, 50));
    assertThat(refusals.lacks(new Position(1, 50), at(10))).isFalse();
  }
}
