package org.alderyard.proxy.view;

import java.util.Objects;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.View;

/** Looks up the pools that callers name in their requests. */
public final class PoolLookup {
  private final LeasedView.Source views;

  /** Creates the lookup. */
  public PoolLookup(LeasedView.Source views) {
    this.views = Objects.requireNonNull(views);
  }

  /**
   * A pool and the view that contains it.
   *
   * @param pool the pool
   * @param view the view of the lookup
   */
  public record Found(PoolState pool, View view) {}

  /**
   * Returns a pool of the current view.
   *
   * @throws AlderyardException with {@code POOL_UNKNOWN} if a view with a valid lease does not
   *     contain the pool, or with {@code VIEW_LEASE_EXPIRED} if the lease has expired. The pool may
   *     then be newer than the view, so the request may be valid and another host may serve it.
   */
  public Found require(PoolName name) {
    LeasedView leased = views.read();
    return leased
        .view()
        .pool(name)
        .map(pool -> new Found(pool, leased.view()))
        .orElseThrow(() -> unknownPool(name, leased));
  }

  private static AlderyardException unknownPool(PoolName name, LeasedView leased) {
    return leased.leaseValid()
        ? AlderyardException.notRun(ErrorCode.POOL_UNKNOWN, "no pool '" + name + "' is known")
        : AlderyardException.notRun(
            ErrorCode.VIEW_LEASE_EXPIRED,
            "the control hosts have not confirmed this proxy's view, which does not contain pool '"
                + name
                + "'");
  }
}
