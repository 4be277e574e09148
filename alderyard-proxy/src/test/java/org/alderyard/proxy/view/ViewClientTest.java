package org.alderyard.proxy.view;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests from which control host and when a host fetches its view. */
class ViewClientTest {
  private static final int SOURCE = 1;
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 7_000);
  private static final int HEARTBEAT_INTERVAL_MILLIS = 750;

  /** Time after which the call of a fetch fails. */
  private static final int FETCH_TIMEOUT_MILLIS = 2_000;

  /** Time in which a host must fetch elsewhere a version that the leader has named. */
  private static final int MAX_OVERTAKE_MILLIS = 800;

  private final ManualTimer timer = new ManualTimer();
  private final FakeViewControl control = new FakeViewControl();
  private final ViewHolder holder = new ViewHolder();
  private final HostState self =
      new HostState(new HostId("h1"), 1, new ZoneName("z0"), ADDRESS, ADDRESS, true, false, false);
  private final ViewClient client =
      new ViewClient(control, SOURCE, self, holder, timer, timer.clock, timer.wallClock);

  /** Runs version 1 with a valid lease; a fetch from the source is in flight. */
  @BeforeEach
  void receiveFirstView() {
    client.start();
    timer.advance(0);
    control.pending().get(0).reply().complete(control.firstView());
    timer.advance(0);
    control.confirm(1);
    assertThat(client.leaseValid()).isTrue();
  }

  private void nameVersionTwo() {
    timer.advance(HEARTBEAT_INTERVAL_MILLIS);
    control.confirm(2);
  }

  /** Lets the leader name version 2 and returns the fetch that the source doesn't answer. */
  private FakeViewControl.Fetch overtakeSilentSource() {
    final FakeViewControl.Fetch silent = control.pending().get(0);
    nameVersionTwo();
    timer.advance(MAX_OVERTAKE_MILLIS);
    return silent;
  }

  /**
   * Guards against a host that acts on an old view while a stopped control host keeps its fetch and
   * the leader names a newer version.
   */
  @Test
  void hostFetchesFromLeaderWhileStoppedSourceIsSilent() {
    FakeViewControl.Fetch silent = overtakeSilentSource();

    assertThat(control.pendingAtLeader()).hasSize(1);
    assertThat(silent.reply().isDone()).isFalse();
    control.pendingAtLeader().get(0).reply().complete(control.change(2));
    assertThat(holder.current().version()).isEqualTo(FakeViewControl.version(2));
    timer.advance(0);
    assertThat(control.pending()).hasSize(2);
    assertThat(control.pending().get(1).index()).isEqualTo(SOURCE + 1);
  }

  /** Guards against a second fetch loop, which a late reply of the silent source would start. */
  @Test
  void lateReplyOfSilentSourceStartsNoFetch() {
    FakeViewControl.Fetch silent = overtakeSilentSource();
    control.pendingAtLeader().get(0).reply().complete(control.change(2));
    timer.advance(0);

    silent.reply().complete(control.change(2));
    timer.advance(HEARTBEAT_INTERVAL_MILLIS);

    assertThat(control.pending()).hasSize(1);
    assertThat(holder.current().version()).isEqualTo(FakeViewControl.version(2));
  }

  /** The same with the failure of a fetch that has timed out. */
  @Test
  void lateFailureOfSilentSourceStartsNoFetch() {
    FakeViewControl.Fetch silent = overtakeSilentSource();

    silent
        .reply()
        .completeExceptionally(AlderyardException.notRun(ErrorCode.DEADLINE_EXCEEDED, "late"));
    timer.advance(HEARTBEAT_INTERVAL_MILLIS);

    assertThat(control.pending()).hasSize(1);
    assertThat(control.pendingAtLeader()).hasSize(1);
  }

  /** A late reply may bring the version first; the leader's reply then has nothing new. */
  @Test
  void lateReplyIsAppliedAndFetchesContinue() {
    FakeViewControl.Fetch silent = overtakeSilentSource();

    silent.reply().complete(control.change(2));
    assertThat(holder.current().version()).isEqualTo(FakeViewControl.version(2));
    control.pendingAtLeader().get(0).reply().complete(control.nothingNew());
    timer.advance(0);

    assertThat(control.pending()).hasSize(1);
    assertThat(control.pendingAtLeader()).isEmpty();
  }

  /** Guards the leader against the fetches of all hosts that lag. */
  @Test
  void laggingHostSendsOneFetchToLeader() {
    nameVersionTwo();
    for (int millis = 0; millis < FETCH_TIMEOUT_MILLIS; millis += HEARTBEAT_INTERVAL_MILLIS) {
      timer.advance(HEARTBEAT_INTERVAL_MILLIS);
      control.confirm(2);
    }

    assertThat(control.pending()).hasSize(2);
    assertThat(control.pendingAtLeader()).hasSize(1);
  }

  @Test
  void sourceThatAnswersInTimeIsKept() {
    nameVersionTwo();
    timer.advance(400);
    control.pending().get(0).reply().complete(control.change(2));
    timer.advance(MAX_OVERTAKE_MILLIS);

    assertThat(control.pending()).hasSize(1);
    assertThat(control.pending().get(0).index()).isEqualTo(SOURCE);
  }

  /** A host that is slow to fetch a newer view acted on the old one without any bound. */
  @Test
  void operationsAreHeldOnceTheLeaseEndsWhileNewerViewIsKnown() {
    nameVersionTwo();
    timer.advance(FakeViewControl.LEASE_MILLIS - HEARTBEAT_INTERVAL_MILLIS - 1);
    assertThat(client.gate().pass().join()).isTrue();

    timer.advance(1);
    assertThat(client.leaseValid()).isFalse();
    CompletableFuture<Boolean> held = client.gate().pass();
    timer.advance(LateHostGate.MAX_WAIT_MILLIS);
    assertThat(held.join()).isFalse();

    control.confirm(2);
    control.pendingAtLeader().get(0).reply().complete(control.change(2));
    timer.advance(0);
    control.confirm(2);
    assertThat(client.gate().pass().join()).isTrue();
  }

  /** A host that is cut off goes on serving: it knows of no newer view. */
  @Test
  void operationsAreNotHeldWhileNoNewerViewIsKnown() {
    timer.advance(FakeViewControl.LEASE_MILLIS);

    assertThat(client.leaseValid()).isFalse();
    assertThat(client.gate().pass().join()).isTrue();
  }

  /** A host that learns late of a newer view, as its heartbeats fail, has no more time for it. */
  @Test
  void operationsAreHeldIfNewerViewIsNamedAfterTheLease() {
    timer.advance(FakeViewControl.LEASE_MILLIS);
    control.confirm(2);

    CompletableFuture<Boolean> held = client.gate().pass();
    timer.advance(LateHostGate.MAX_WAIT_MILLIS);

    assertThat(held.join()).isFalse();
  }
}
