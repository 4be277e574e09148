package org.alderyard.proxy.lease;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.pool.PoolUse;
import org.junit.jupiter.api.Test;

/**
 * Guards against excess connections during bursts of work over a dozen hosts. When each host
 * requested its own peak of the last second, the hosts together held all connections that a server
 * accepts with a third of them in use, and closed and reopened them with each burst.
 */
class SmoothedConnectionTargetTest {
  private static final ServerId SERVER = new ServerId("s1");
  private static final PoolUse PEAK_OF_FIVE = new PoolUse(5, 5, 0, 0);

  private final Map<ServerId, Double> means = new HashMap<>();
  private final SmoothedConnectionTarget target =
      new SmoothedConnectionTarget(server -> means.getOrDefault(server, 0.0));

  private int targetConnections(double mean) {
    means.put(SERVER, mean);
    return target.targetConnections(SERVER, PEAK_OF_FIVE);
  }

  @Test
  void peakAloneDoesNotRaiseTheTarget() {
    assertThat(targetConnections(0.3)).isEqualTo(1);
  }

  @Test
  void higherMeanDemandRaisesTheTargetImmediately() {
    targetConnections(0.3);

    assertThat(targetConnections(2.0)).isEqualTo(3);
  }

  @Test
  void targetFallsOverSeveralRenewals() {
    targetConnections(2.0);

    assertThat(targetConnections(0.0)).isEqualTo(3);
    for (int renewal = 0; renewal < 10; renewal++) {
      targetConnections(0.0);
    }
    assertThat(targetConnections(0.0)).isEqualTo(1);
  }

  @Test
  void idleServerIsReleasedEventually() {
    targetConnections(0.5);
    for (int renewal = 0; renewal < 60; renewal++) {
      targetConnections(0.0);
    }

    assertThat(targetConnections(0.0)).isEqualTo(0);
  }

  @Test
  void removedServersLoseTheirState() {
    targetConnections(2.0);
    target.retain(Set.of());

    assertThat(targetConnections(0.0)).isEqualTo(0);
  }
}
