package org.alderyard.proxy.view;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.common.time.HostTime;
import org.alderyard.common.view.ViewVersion;
import org.junit.jupiter.api.Test;

/** Tests how long a proxy may act on its view. */
class ViewLeaseTest {
  private static final ViewVersion V1 = new ViewVersion(1, 1);
  private static final ViewVersion V2 = new ViewVersion(1, 2);
  private static final long LEASE_MILLIS = 3_000;

  private final ViewLease lease = new ViewLease();

  /** Returns a time on the clocks of a host that is never suspended. */
  private static HostTime at(long millis) {
    return new HostTime(millis, millis);
  }

  @Test
  void leaseStartsWhenHeartbeatIsSent() {
    assertThat(lease.valid(at(0))).isFalse();
    lease.recordRunning(V1);
    lease.recordConfirmation(V1, at(100), LEASE_MILLIS, at(900));
    assertThat(lease.valid(at(3_099))).isTrue();
    assertThat(lease.valid(at(3_100))).isFalse();
  }

  /**
   * A proxy reaches the leader, but fetches its deltas from a control host that is partitioned when
   * a ticket is accepted. The proxy must stop within one lease time although its heartbeats are
   * answered. Otherwise the ticket would count as in force while the proxy acts on the old view.
   */
  @Test
  void answeredHeartbeatsDoNotExtendLeaseOfLaggingHost() {
    lease.recordRunning(V1);
    lease.recordConfirmation(V1, at(0), LEASE_MILLIS, at(1));
    lease.recordConfirmation(V2, at(1_000), LEASE_MILLIS, at(1_001));
    lease.recordConfirmation(V2, at(2_000), LEASE_MILLIS, at(2_001));

    assertThat(lease.valid(at(3_000))).isFalse();
    assertThat(lease.behindMillis(2_501).getAsLong()).isEqualTo(1_500);

    lease.recordRunning(V2);
    assertThat(lease.valid(at(4_999))).isTrue();
    assertThat(lease.valid(at(5_000))).isFalse();
    assertThat(lease.behindMillis(4_000).isPresent()).isFalse();
  }

  @Test
  void lateReplyToEarlierHeartbeatDoesNotShortenLease() {
    lease.recordRunning(V2);
    lease.recordConfirmation(V2, at(1_000), LEASE_MILLIS, at(1_001));
    lease.recordConfirmation(V1, at(0), LEASE_MILLIS, at(1_500));
    assertThat(lease.valid(at(3_999))).isTrue();
  }
}
