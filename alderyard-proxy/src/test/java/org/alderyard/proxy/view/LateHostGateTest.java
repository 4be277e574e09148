package org.alderyard.proxy.view;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against operations that begin by an old view on a host which can learn of a newer one. */
class LateHostGateTest {
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 7_000);
  private static final int HEARTBEAT_INTERVAL_MILLIS = 750;
  private static final int PAUSE_MILLIS = 4_000;

  private final ManualTimer timer = new ManualTimer();
  private final FakeViewControl control = new FakeViewControl();
  private final ViewHolder holder = new ViewHolder();
  private final HostState self =
      new HostState(new HostId("h1"), 1, new ZoneName("z0"), ADDRESS, ADDRESS, true, false, false);
  private final ViewClient client =
      new ViewClient(control, 0, self, holder, timer, timer.clock, timer.wallClock);

  /** Runs version 1 with a valid lease; a fetch is in flight. */
  @BeforeEach
  void obtainLease() {
    client.start();
    timer.advance(0);
    control.pending().get(0).reply().complete(control.firstView());
    timer.advance(0);
    control.confirm(1);
    assertThat(passesAtOnce()).isTrue();
  }

  private boolean passesAtOnce() {
    final CompletableFuture<Boolean> passed = client.gate().pass();
    return passed.isDone() && passed.join();
  }

  /** Lets the clock advance while no task of this host runs. */
  private void pauseHost() {
    timer.clock.advance(Duration.ofMillis(PAUSE_MILLIS));
  }

  private void failHeartbeats() {
    AlderyardException failure = AlderyardException.notRun(ErrorCode.DEADLINE_EXCEEDED, "silent");
    List.copyOf(control.heartbeats).forEach(heartbeat -> heartbeat.completeExceptionally(failure));
  }

  /** Runs on time while no heartbeat is answered. */
  private void runCutOff(int millis) {
    for (int passed = 0; passed < millis; passed += HEARTBEAT_INTERVAL_MILLIS) {
      timer.advance(HEARTBEAT_INTERVAL_MILLIS);
      failHeartbeats();
    }
  }

  @Test
  void operationAfterPauseWaitsForReply() {
    pauseHost();
    final CompletableFuture<Boolean> passed = client.gate().pass();
    timer.advance(0);
    assertThat(passed.isDone()).isFalse();

    control.confirm(1);
    timer.advance(0);

    assertThat(passed.join()).isTrue();
    assertThat(client.leaseValid()).isTrue();
  }

  @Test
  void operationAfterPauseWaitsForVersionThatReplyNames() {
    pauseHost();
    final CompletableFuture<Boolean> passed = client.gate().pass();
    timer.advance(0);
    control.confirm(2);
    timer.advance(0);
    assertThat(passed.isDone()).isFalse();

    control.pending().get(0).reply().complete(control.change(2));
    timer.advance(0);

    assertThat(passed.join()).isTrue();
    assertThat(holder.current().version()).isEqualTo(FakeViewControl.version(2));
  }

  @Test
  void operationIsRefusedIfVersionDoesNotArrive() {
    pauseHost();
    final CompletableFuture<Boolean> passed = client.gate().pass();
    timer.advance(0);
    control.confirm(2);
    timer.advance(LateHostGate.MAX_WAIT_MILLIS);

    assertThat(passed.join()).isFalse();
  }

  /** The host runs on time, but its fetches don't bring the version that the leader names. */
  @Test
  void operationIsRefusedOnHostThatCannotFetchVersion() {
    for (int passed = 0; passed < PAUSE_MILLIS; passed += HEARTBEAT_INTERVAL_MILLIS) {
      timer.advance(HEARTBEAT_INTERVAL_MILLIS);
      control.confirm(2);
    }
    final CompletableFuture<Boolean> passed = client.gate().pass();
    timer.advance(LateHostGate.MAX_WAIT_MILLIS);

    assertThat(passed.join()).isFalse();
  }

  /** On a slow link the heartbeats wait behind the view that the host lacks. */
  @Test
  void operationIsHeldWhileRepliesWaitBehindTheVersion() {
    timer.advance(HEARTBEAT_INTERVAL_MILLIS);
    control.confirm(2);
    runCutOff(PAUSE_MILLIS);
    assertThat(client.leaseValid()).isFalse();
    assertThat(client.gate().pass().isDone()).isFalse();

    runCutOff((int) LateHostGate.MAX_CONTACT_AGE_MILLIS);
    assertThat(passesAtOnce()).isTrue();
  }

  @Test
  void hostThatSuspensionMadeLateHoldsOperations() {
    timer.stepWallClock(PAUSE_MILLIS);

    assertThat(client.gate().pass().isDone()).isFalse();
  }

  /** A host that is cut off from the control hosts must go on serving its callers. */
  @Test
  void hostThatIsCutOffHoldsNothing() {
    runCutOff(PAUSE_MILLIS);

    assertThat(client.leaseValid()).isFalse();
    assertThat(passesAtOnce()).isTrue();
  }

  @Test
  void hostThatIsCutOffAfterPauseHoldsNothingForLong() {
    pauseHost();
    assertThat(passesAtOnce()).isFalse();

    // One control host that does not reply must not end the wait for the others.
    runCutOff(2 * HEARTBEAT_INTERVAL_MILLIS);
    assertThat(passesAtOnce()).isFalse();

    runCutOff((int) LateHostGate.MAX_UNSETTLED_MILLIS);
    assertThat(passesAtOnce()).isTrue();
  }

  /** A heartbeat that nobody answers is in flight for seconds if several control hosts hang. */
  @Test
  void hostWithSilentControlHostsHoldsNothing() {
    for (int passed = 0; passed < PAUSE_MILLIS; passed += HEARTBEAT_INTERVAL_MILLIS) {
      timer.advance(HEARTBEAT_INTERVAL_MILLIS);
    }

    assertThat(client.leaseValid()).isFalse();
    assertThat(passesAtOnce()).isTrue();
  }
}
