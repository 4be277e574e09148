package org.alderyard.proxy.view;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.View;

/** Looks up the pools that callers name in their requests. */
public final class PoolLookup {
  private final BooleanSupplier viewConfirmed;

  /**
   * Creates the lookup.
   *
   * @param viewConfirmed returns whether the control hosts have confirmed this host's view recently
   */
  public PoolLookup(BooleanSupplier viewConfirmed) {
    this.viewConfirmed = Objects.requireNonNull(viewConfirmed);
  }

  /**
   * Returns a pool of the view.
   *
   * @throws AlderyardException with {@code POOL_UNKNOWN} if a confirmed view does not contain the
   *     pool, or with {@code VIEW_LEASE_EXPIRED} if the view is not confirmed. The pool may then be
   *     newer than the view, so the request may be valid and another host may serve it.
   */
  public PoolState require(View view, PoolName name) {
    return view.pool(name).orElseThrow(() -> unknownPool(name));
  }

  private AlderyardException unknownPool(PoolName name) {
    return viewConfirmed.getAsBoolean()
        ? AlderyardException.notRun(ErrorCode.POOL_UNKNOWN, "no pool '" + name + "' is known")
        : AlderyardException.notRun(
            ErrorCode.VIEW_LEASE_EXPIRED,
            "the control hosts have not confirmed this proxy's view, which does not contain pool '"
                + name
                + "'");
  }
}
