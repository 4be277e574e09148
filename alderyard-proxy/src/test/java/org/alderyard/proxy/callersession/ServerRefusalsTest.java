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
  void busyServerIsRetriedByOneStatementAfterEachBackoff() {
    refusals.recordBusy(at(0));
    assertThat(refusals.isBusy(at(3))).isTrue();
    assertThat(refusals.isBusy(at(4))).isFalse();

    refusals.recordAttempt(at(4));

    assertThat(refusals.isBusy(at(5))).isTrue();
  }

  @Test
  void backoffGrowsToMaximumWhileServerStaysBusy() {
    for (int i = 0; i < 20; i++) {
      refusals.recordBusy(at(0));
    }
    assertThat(refusals.isBusy(at(63))).isTrue();
    assertThat(refusals.isBusy(at(64))).isFalse();
  }

  @Test
  void acceptedStatementEndsBackoff() {
    refusals.recordBusy(at(0));
    refusals.recordAccepted();
    assertThat(refusals.isBusy(at(1))).isFalse();
  }

  @Test
  void replicaIsNotRetriedBeforeItIsExpectedToHoldPosition() {
    refusals.recordMissingPosition(new Position(1, 50), at(0), at(120));

    assertThat(refusals.isMissing(new Position(1, 50), at(119))).isTrue();
    assertThat(refusals.isMissing(new Position(1, 49), at(119))).isFalse();
    assertThat(refusals.isMissing(new Position(1, 50), at(120))).isFalse();
  }

  @Test
  void overestimatedLagDelaysRetryByBoundedTime() {
    refusals.recordMissingPosition(new Position(1, 50), at(0), at(9_000));
    assertThat(refusals.isMissing(new Position(1, 50), at(250))).isFalse();
  }

  @Test
  void replicaThatReportsPositionIsRetried() {
    refusals.recordMissingPosition(new Position(1, 50), at(0), at(120));
    refusals.recordPosition(new Position(1, 49));
    assertThat(refusals.isMissing(new Position(1, 50), at(10))).isTrue();
    refusals.recordPosition(new Position(1, 50));
    assertThat(refusals.isMissing(new Position(1, 50), at(10))).isFalse();
  }
}
