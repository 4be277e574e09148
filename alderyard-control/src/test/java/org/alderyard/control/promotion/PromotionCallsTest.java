package org.alderyard.control.promotion;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.HostTime;
import org.alderyard.common.time.ManualClock;
import org.alderyard.control.log.ControlLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests for how long after a confirmation of the leadership calls may be sent. */
class PromotionCallsTest {
  private static final Duration FREEZE = Duration.ofMillis(CallPermit.VALIDITY_MILLIS + 1);

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final ManualClock clock = new ManualClock();
  private final QuorumLog log = new QuorumLog();
  private final List<Boolean> validPermits = new ArrayList<>();
  private final List<PromotionResponse> responses =
      new ArrayList<>(List.of(PromotionResponse.ACCEPTED));
  private final PromotionCalls calls =
      new PromotionCalls(
          (group, server, leader, token, permit) -> {
            validPermits.add(permit.isValid());
            return CompletableFuture.completedFuture(responses.remove(0));
          },
          log,
          new HostId("h1"),
          workers,
          this::now);

  @AfterEach
  void close() {
    workers.close();
  }

  private HostTime now() {
    return HostTime.now(clock, () -> Instant.EPOCH);
  }

  private CompletableFuture<PromotionCalls.Outcome> run(HostTime tokenAskedTime) {
    return calls.run(
        new PromotionCalls.Promotion(
            new GroupId("g1"), new ServerId("s1"), 1, 1, tokenAskedTime, tokenAskedTime));
  }

  /** Guards against a delay of each failover by a further round of a quorum. */
  @Test
  void freshTokenNeedsNoFurtherConfirmation() throws Exception {
    run(now()).get(5, TimeUnit.SECONDS);
    assertThat(log.barriers).isEqualTo(0);
    assertThat(validPermits).containsExactly(true);
  }

  /** Guards against a call of a leader that was frozen after it obtained its token. */
  @Test
  void oldTokenIsConfirmedBeforeFirstCall() throws Exception {
    HostTime asked = now();
    clock.advance(FREEZE);
    run(asked).get(5, TimeUnit.SECONDS);
    assertThat(log.barriers).isEqualTo(1);
    assertThat(validPermits).containsExactly(true);
  }

  /**
   * Guards against a call of a leader that was frozen between the confirmation of its leadership
   * and the call: the permit counts from the request for the confirmation.
   */
  @Test
  void permitCountsFromRequestForConfirmation() throws Exception {
    log.beforeReply = () -> clock.advance(FREEZE);
    HostTime asked = now();
    clock.advance(FREEZE);
    run(asked).get(5, TimeUnit.SECONDS);
    assertThat(validPermits).containsExactly(false);
  }

  /** Guards against a failover that ends with a call that was too late to be sent. */
  @Test
  void callThatWasNotSentIsRepeatedAndLeavesNothingExecutable() throws Exception {
    responses.add(0, PromotionResponse.NOT_SENT);
    responses.set(1, PromotionResponse.REFUSED);
    PromotionCalls.Outcome outcome = run(now()).get(5, TimeUnit.SECONDS);
    assertThat(outcome.response()).isEqualTo(PromotionResponse.REFUSED);
    assertThat(outcome.executable()).isFalse();
    assertThat(log.barriers).isEqualTo(1);
  }

  /** A log of a leader; the reply of the quorum may take a while. */
  private static final class QuorumLog implements ControlLog {
    private Runnable beforeReply = () -> {};
    private int barriers;

    @Override
    public CompletableFuture<ByteString> propose(ByteString command) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> readBarrier() {
      barriers++;
      beforeReply.run();
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public boolean isLeader() {
      return true;
    }

    @Override
    public Optional<HostId> leader() {
      return Optional.of(new HostId("h1"));
    }

    @Override
    public long term() {
      return 1;
    }

    @Override
    public void close() {}
  }
}
