package org.alderyard.proxy.view;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.View;

/** The pools that callers may name. */
public final class KnownPools {
  private final BooleanSupplier viewConfirmed;

  /**
   * Creates the look-up.
   *
   * @param viewConfirmed whether the control hosts have confirmed this host's view of late
   */
  public KnownPools(BooleanSupplier viewConfirmed) {
    this.viewConfirmed = Objects.requireNonNull(viewConfirmed);
  }

  /**
   * Returns a pool.
   *
   * @throws AlderyardException with {@code POOL_UNKNOWN} if there is none, or with {@code
   *     VIEW_LEASE_EXPIRED} if it may have come since this host's view: that is not the caller's
   *     fault, and another host may know it
   */
  public PoolState require(View view, PoolName name) {
    return view.pool(name).orElseThrow(() -> unknown(name));
  }

  private AlderyardException unknown(PoolName name) {
    return viewConfirmed.getAsBoolean()
        ? AlderyardException.notRun(ErrorCode.POOL_UNKNOWN, "no pool '" + name + "' is known")
        : AlderyardException.notRun(
            ErrorCode.VIEW_LEASE_EXPIRED,
            "this proxy has lost touch with the control hosts and does not know pool '"
                + name
                + "'");
  }
}
