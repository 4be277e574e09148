package org.alderyard.proxy.serverhealth;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ServerPaceTest {
  private static final double PEER_MILLIS = 30;
  private static final FleetSize FLEET = new FleetSize(60, 6);
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final ServerPace pace = new ServerPace(0.5);

  /** Guards against a fixed ramp: a server without answers in time stays at its first bound. */
  @Test
  void boundDoesNotGrowWithTimeAlone() {
    pace.restrict(FLEET, PEER_MILLIS, 0);
    double first = pace.bound();
    pace.admits(FLEET, 100_000 * MILLI);
    assertThat(pace.isBounded()).isTrue();
    assertThat(pace.bound()).isEqualTo(first);
  }

  /** Answers a cold server: late answers and refusals lower the bound to one statement. */
  @Test
  void lateAnswersAndRefusalsShrinkBoundToOneStatement() {
    pace.restrict(FLEET, PEER_MILLIS, 0);
    adjust(new ReadSums(20, 0, 0, 20 * 150), 100);
    adjust(new ReadSums(0, 0, 5, 0), 200);
    assertThat(pace.bound()).isEqualTo(1.0);
    assertThat(pace.isBounded()).isTrue();
  }

  /** Answers a server that is warm: answers in time of the fleet end the bound. */
  @Test
  void answersInTimeEndBound() {
    pace.restrict(FLEET, PEER_MILLIS, 0);
    adjust(new ReadSums(16, 0, 0, 16 * PEER_MILLIS), 500);
    assertThat(pace.isBounded()).isFalse();
  }

  /** Guards against 60 hosts that each send one statement at once to a server with six slots. */
  @Test
  void hostsTogetherKeepToBound() {
    int admitted = 0;
    for (int host = 0; host < FLEET.hosts(); host++) {
      ServerPace own = new ServerPace(host / (double) FLEET.hosts());
      own.restrict(FLEET, PEER_MILLIS, 0);
      admitted += own.admits(FLEET, 90 * MILLI) ? 1 : 0;
    }
    // Within the assumed response time of a cold server, three times that of its peers.
    assertThat(admitted).isAtMost(FLEET.slots() / 3);
  }

  /** Answers a small fleet, in which the share of a host is more than one statement. */
  @Test
  void singleHostSendsWholeBound() {
    FleetSize single = new FleetSize(1, 6);
    pace.restrict(single, PEER_MILLIS, 0);
    pace.started();
    assertThat(pace.admits(single, 0)).isTrue();
    pace.started();
    assertThat(pace.admits(single, 0)).isFalse();
    pace.ended();
    assertThat(pace.admits(single, 0)).isTrue();
  }

  private void adjust(ReadSums reads, long atMillis) {
    pace.adjust(reads, false, PEER_MILLIS, FLEET, atMillis * MILLI);
  }
}
