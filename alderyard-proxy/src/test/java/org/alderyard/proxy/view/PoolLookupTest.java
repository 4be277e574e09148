package org.alderyard.proxy.view;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.View;
import org.junit.jupiter.api.Test;

/**
 * Guards against a 404 for an existing pool: a proxy without a confirmed view may not know it yet.
 */
class PoolLookupTest {
  private static AlderyardException unknown(boolean viewConfirmed) {
    PoolLookup pools = new PoolLookup(() -> viewConfirmed);
    return assertThrows(
        AlderyardException.class, () -> pools.require(View.EMPTY, new PoolName("added-since")));
  }

  @Test
  void proxyWithoutConfirmedViewReportsExpiredLease() {
    AlderyardException unknown = unknown(false);

    assertThat(unknown.code()).isEqualTo(ErrorCode.VIEW_LEASE_EXPIRED);
    assertThat(unknown.code().isRequestFault()).isFalse();
    assertThat(unknown.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void proxyWithConfirmedViewReportsUnknownPool() {
    assertThat(unknown(true).code()).isEqualTo(ErrorCode.POOL_UNKNOWN);
  }
}
