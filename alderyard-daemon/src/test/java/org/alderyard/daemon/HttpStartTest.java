package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class HttpStartTest {

  /** Guards deployments that set nothing against ports that open at another time. */
  @Test
  void presetWaitsTwoSecondsForTheConfiguration() {
    assertThat(HttpStart.TIMED.maxWait()).isEqualTo(Duration.ofSeconds(2));
    assertThat(HttpStart.TIMED.mayOpen(false)).isFalse();
    assertThat(HttpStart.TIMED.mayOpen(true)).isTrue();
  }

  /** Guards a new cluster, whose operator needs the ports to send the first configuration. */
  @Test
  void viewWithoutConfigurationOpensThePorts() {
    assertThat(HttpStart.AFTER_VIEW.mayOpen(false)).isTrue();
  }

  /** Guards operators of a host that finds no leader against ports that stay closed. */
  @Test
  void portsOpenWithoutLeader() {
    assertThat(HttpStart.AFTER_VIEW.maxWait()).isAtMost(Duration.ofSeconds(15));
  }
}
