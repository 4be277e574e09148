package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against request storms when all hosts start simultaneously after a power loss and request
 * a view before a leader is elected. Without the wait, each host was refused and retried at the
 * next control host ten times a second, which loaded the control hosts during the election.
 */
class LeaderWaitQueueTest {
  private static final Duration LONG_TIMEOUT = Duration.ofMinutes(1);

  private final LeaderWaitQueue queue = new LeaderWaitQueue();

  @Test
  void completesOnceLeaderIsKnown() {
    List<CompletableFuture<Void>> futures =
        List.of(queue.awaitLeader(LONG_TIMEOUT), queue.awaitLeader(LONG_TIMEOUT));
    assertThat(futures.stream().anyMatch(CompletableFuture::isDone)).isFalse();

    queue.setLeaderKnown(true);

    assertThat(futures.stream().allMatch(CompletableFuture::isDone)).isTrue();
  }

  @Test
  void completesImmediatelyWhileLeaderIsKnown() {
    queue.setLeaderKnown(true);

    assertThat(queue.awaitLeader(LONG_TIMEOUT).isDone()).isTrue();
  }

  @Test
  void waitsAgainAfterLeaderIsLost() {
    queue.setLeaderKnown(true);
    queue.setLeaderKnown(false);

    assertThat(queue.awaitLeader(LONG_TIMEOUT).isDone()).isFalse();
  }

  @Test
  void completesWhenTimeoutExpires() throws Exception {
    queue.awaitLeader(Duration.ofMillis(1)).get(20, TimeUnit.SECONDS);
  }
}
