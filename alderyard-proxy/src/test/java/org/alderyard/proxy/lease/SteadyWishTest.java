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
class SteadyWishTest {
  private static final ServerId SERVER = new ServerId("s1");
  private static final PoolUse PEAK_OF_FIVE = new PoolUse(5, 5, 0);

  private final Map<ServerId, Double> means = new HashMap<>();
  private final SteadyWish target = new SteadyWish(server -> means.getOrDefault(server, 0.0));

  private int wanted(double mean) {
    means.put(SERVER, mean);
    return target.wanted(SERVER, PEAK_OF_FIVE);
  }

  @Test
  void peakAloneDoesNotRaiseTheTarget() {
    assertThat(wanted(0.3)).isEqualTo(1);
  }

  @Test
  void higherMeanDemandRaisesTheTargetImmediately() {
    wanted(0.3);

    assertThat(wanted(2.0)).isEqualTo(3);
  }

  @Test
  void targetFallsOverSeveralRenewals() {
    wanted(2.0);

    assertThat(wanted(0.0)).isEqualTo(3);
    for (int renewal = 0; renewal < 10; renewal++) {
      wanted(0.0);
    }
    assertThat(wanted(0.0)).isEqualTo(1);
  }

  @Test
  void idleServerIsReleasedEventually() {
    wanted(0.5);
    for (int renewal = 0; renewal < 60; renewal++) {
      wanted(0.0);
    }

    assertThat(wanted(0.0)).isEqualTo(0);
  }

  @Test
  void removedServersLoseTheirState() {
    wanted(2.0);
    target.retain(Set.of());

    assertThat(wanted(0.0)).isEqualTo(0);
  }
}
