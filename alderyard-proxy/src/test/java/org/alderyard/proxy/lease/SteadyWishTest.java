package org.alderyard.proxy.lease;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.pool.PoolUse;
import org.junit.jupiter.api.Test;

/**
 * Pattern: waves of work over a dozen hosts. Each host asked for its own peak of the last second,
 * so that together they held all connections that a server accepts while a third of them was in
 * use, and closed and opened them again with each wave.
 */
class SteadyWishTest {
  private static final ServerId SERVER = new ServerId("s1");
  private static final PoolUse PEAK_OF_FIVE = new PoolUse(5, 5, 0);

  private final Map<ServerId, Double> means = new HashMap<>();
  private final SteadyWish wish = new SteadyWish(server -> means.getOrDefault(server, 0.0));

  private int wanted(double mean) {
    means.put(SERVER, mean);
    return wish.wanted(SERVER, PEAK_OF_FIVE);
  }

  @Test
  void peakAloneIsNoNeed() {
    assertThat(wanted(0.3)).isEqualTo(1);
  }

  @Test
  void workThatWaitsRaisesTheWishAtOnce() {
    wanted(0.3);

    assertThat(wanted(2.0)).isEqualTo(3);
  }

  @Test
  void wishFallsOverSeveralRenewals() {
    wanted(2.0);

    assertThat(wanted(0.0)).isEqualTo(3);
    for (int renewal = 0; renewal < 10; renewal++) {
      wanted(0.0);
    }
    assertThat(wanted(0.0)).isEqualTo(1);
  }

  @Test
  void serverWithoutWorkIsGivenUpInTheEnd() {
    wanted(0.5);
    for (int renewal = 0; renewal < 60; renewal++) {
      wanted(0.0);
    }

    assertThat(wanted(0.0)).isEqualTo(0);
  }

  @Test
  void serversThatLeftAreForgotten() {
    wanted(2.0);
    wish.retain(Set.of());

    assertThat(wanted(0.0)).isEqualTo(0);
  }
}
