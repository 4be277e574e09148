package org.alderyard.proxy.view;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.View;
import org.junit.jupiter.api.Test;

/** Guards against a 404 for a pool that only this proxy does not know, as it has no view yet. */
class KnownPoolsTest {
  private static AlderyardException unknown(boolean viewConfirmed) {
    KnownPools pools = new KnownPools(() -> viewConfirmed);
    return assertThrows(
        AlderyardException.class, () -> pools.require(View.EMPTY, new PoolName("added-since")));
  }

  @Test
  void proxyWithoutConfirmedViewSendsTheCallerToAnother() {
    AlderyardException unknown = unknown(false);

    assertThat(unknown.code()).isEqualTo(ErrorCode.VIEW_LEASE_EXPIRED);
    assertThat(unknown.code().blamesRequest()).isFalse();
    assertThat(unknown.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void proxyWhoseViewIsConfirmedSaysThatThereIsNone() {
    assertThat(unknown(true).code()).isEqualTo(ErrorCode.POOL_UNKNOWN);
  }
}
