package org.alderyard.proxy.view;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the view lease of a host that is suspended or whose clock is set. */
class ViewLeaseClockTest {
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 7_000);
  private static final int HEARTBEAT_INTERVAL_MILLIS = 750;
  private static final int HOUR_MILLIS = 3_600_000;

  private final ManualTimer timer = new ManualTimer();
  private final FakeViewControl control = new FakeViewControl();
  private final HostState self =
      new HostState(new HostId("h1"), 1, new ZoneName("z0"), ADDRESS, ADDRESS, true, false, false);
  private final ViewClient client =
      new ViewClient(control, 0, self, new ViewHolder(), timer, timer.clock, timer.wallClock);
  private int lapses;

  @BeforeEach
  void obtainLease() {
    client.start();
    timer.advance(0);
    control.pending().get(0).reply().complete(control.firstView());
    timer.advance(0);
    control.confirm(1);
    client.onLeaseLapsed(() -> lapses++);
    assertThat(client.leaseValid()).isTrue();
  }

  private int heartbeatsInFlight() {
    return (int) control.heartbeats.stream().filter(sent -> !sent.isDone()).count();
  }

  /** Guards against final refusals by the view that a host had before it was suspended. */
  @Test
  void suspendedHostHasNoLease() {
    timer.stepWallClock(10_000);

    assertThat(client.leaseValid()).isFalse();
  }

  /** The reply lies in the socket while the host is suspended. */
  @Test
  void replyReceivedAfterSuspensionGrantsNoLease() {
    timer.advance(HEARTBEAT_INTERVAL_MILLIS);
    timer.stepWallClock(10_000);
    control.confirm(1);

    assertThat(client.leaseValid()).isFalse();
  }

  /** A healthy host must not refuse writes until its next periodic heartbeat. */
  @Test
  void leaseEndedByTimeOfDayIsRenewedAtOnce() {
    timer.stepWallClock(FakeViewControl.LEASE_MILLIS);
    for (int check = 0; check < 100; check++) {
      assertThat(client.leaseValid()).isFalse();
    }
    timer.advance(0);
    assertThat(heartbeatsInFlight()).isEqualTo(1);
    control.confirm(1);

    assertThat(client.leaseValid()).isTrue();
    timer.advance(0);
    assertThat(heartbeatsInFlight()).isEqualTo(0);
  }

  /** Guards the leader against heartbeats without pause while it fails them. */
  @Test
  void failedRenewalIsNotRepeatedBeforePeriodicHeartbeat() {
    timer.stepWallClock(FakeViewControl.LEASE_MILLIS);
    assertThat(client.leaseValid()).isFalse();
    timer.advance(0);
    control.heartbeats.forEach(
        sent ->
            sent.completeExceptionally(
                AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "refused")));

    assertThat(client.leaseValid()).isFalse();
    timer.advance(HEARTBEAT_INTERVAL_MILLIS / 2);

    assertThat(heartbeatsInFlight()).isEqualTo(0);
  }

  @Test
  void stepOfTwoSecondsDoesNotEndFreshLease() {
    timer.stepWallClock(2_000);
    timer.advance(HEARTBEAT_INTERVAL_MILLIS);

    assertThat(client.leaseValid()).isTrue();
  }

  @Test
  void clockSetBackLeavesMonotonicBound() {
    timer.stepWallClock(-HOUR_MILLIS);

    timer.advance(FakeViewControl.LEASE_MILLIS - 1);
    assertThat(client.leaseValid()).isTrue();
    timer.advance(1);
    assertThat(client.leaseValid()).isFalse();
  }

  /** Guards against the end of a lease from before the clock was set back. */
  @Test
  void suspensionAfterClockWasSetBackEndsLease() {
    timer.stepWallClock(-HOUR_MILLIS);
    timer.advance(HEARTBEAT_INTERVAL_MILLIS);
    control.confirm(1);
    timer.stepWallClock(10_000);

    assertThat(client.leaseValid()).isFalse();
  }

  /** The ledger of an interrupted host refuses requests for seconds. */
  @Test
  void stepWithoutNewerViewDoesNotInterruptOwnership() {
    timer.stepWallClock(HOUR_MILLIS);
    assertThat(client.leaseValid()).isFalse();
    timer.advance(0);
    control.confirm(1);

    assertThat(client.leaseValid()).isTrue();
    assertThat(lapses).isEqualTo(0);
  }

  /** Guards against an owner that missed the views in which another one took its place. */
  @Test
  void viewAfterSuspensionInterruptsOwnership() {
    timer.stepWallClock(10_000);
    control.pending().get(0).reply().complete(control.change(2));

    assertThat(lapses).isEqualTo(1);
  }

  @Test
  void viewOfRunningHostDoesNotInterruptOwnership() {
    timer.advance(HEARTBEAT_INTERVAL_MILLIS);
    control.pending().get(0).reply().complete(control.change(2));

    assertThat(lapses).isEqualTo(0);
  }
}
