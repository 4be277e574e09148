package org.alderyard.proxy.view;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.common.view.WriteAcknowledgement;
import org.junit.jupiter.api.Test;

/**
 * Guards against a 404 for an existing pool: a proxy without a confirmed view may not know it yet.
 */
class PoolLookupTest {
  private static final PoolName POOL = new PoolName("added-since");

  private static AlderyardException unknown(boolean viewConfirmed) {
    PoolLookup pools = new PoolLookup(LeasedView.Source.of(() -> View.EMPTY, () -> viewConfirmed));
    return assertThrows(AlderyardException.class, () -> pools.require(POOL));
  }

  @Test
  void proxyWithoutConfirmedViewReportsExpiredLease() {
    AlderyardException unknown = unknown(false);

    assertThat(unknown.code()).isEqualTo(ErrorCode.VIEW_LEASE_EXPIRED);
    assertThat(unknown.code().isRequestFault()).isFalse();
    assertThat(unknown.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** A newer view with the pool arrives while the lookup reads the lease. */
  @Test
  void poolOfConfirmedViewIsNotUnknown() {
    ViewHolder views = new ViewHolder();
    PoolLookup pools =
        new PoolLookup(
            LeasedView.Source.of(
                views::current,
                () -> {
                  views.updateIfNewer(viewWithPool());
                  return true;
                }));

    assertThat(pools.require(POOL).pool().name()).isEqualTo(POOL);
  }

  private static View viewWithPool() {
    View.Editor editor = View.EMPTY.edit();
    editor
        .pools()
        .put(
            POOL,
            new PoolState(
                POOL, List.of(new GroupId("g1")), WriteAcknowledgement.PRIMARY_ONLY, 0, 0));
    return editor.at(new ViewVersion(1, 1));
  }

  @Test
  void proxyWithConfirmedViewReportsUnknownPool() {
    assertThat(unknown(true).code()).isEqualTo(ErrorCode.POOL_UNKNOWN);
  }
}
