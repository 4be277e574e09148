package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * All hosts start at once after a loss of power and ask the control hosts for a view. There is no
 * leader yet. Each was refused, and asked the next control host, ten times a second, while the
 * control hosts were busy electing the leader that all of them waited for.
 */
class LeaderWaitsTest {
  private static final Duration LONG = Duration.ofMinutes(1);

  private final LeaderWaits waits = new LeaderWaits();

  @Test
  void waitEndsOnceSomebodyLeads() {
    List<CompletableFuture<Void>> hosts = List.of(waits.await(LONG), waits.await(LONG));
    assertThat(hosts.stream().anyMatch(CompletableFuture::isDone)).isFalse();

    waits.update(true);

    assertThat(hosts.stream().allMatch(CompletableFuture::isDone)).isTrue();
  }

  @Test
  void thereIsNoWaitWhileSomebodyLeads() {
    waits.update(true);

    assertThat(waits.await(LONG).isDone()).isTrue();
  }

  @Test
  void lostLeaderIsWaitedForAgain() {
    waits.update(true);
    waits.update(false);

    assertThat(waits.await(LONG).isDone()).isFalse();
  }

  @Test
  void waitEndsWithItsTime() throws Exception {
    waits.await(Duration.ofMillis(1)).get(20, TimeUnit.SECONDS);
  }
}
