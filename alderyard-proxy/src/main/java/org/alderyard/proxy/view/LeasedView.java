package org.alderyard.proxy.view;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.alderyard.common.view.View;

/**
 * A view, and whether a view lease covers it.
 *
 * <p>What is missing in a view with a valid lease can be refused for good. Without a valid lease it
 * may have been added since, and another host may serve the request.
 *
 * @param view the view
 * @param leaseValid whether the control hosts have recently confirmed this view or an older one
 * @param overdue whether a newer view is known to exist that this host has not received in time
 */
public record LeasedView(View view, boolean leaseValid, boolean overdue) {

  /** Reads the current view and its lease. Thread-safe. */
  @FunctionalInterface
  public interface Source {

    /** Returns the current view and whether a lease covers it. */
    LeasedView read();

    /**
     * Returns a source that reads the lease before the view. The view, whose version only
     * increases, is then at least as new as the one that the lease covers, even if the thread
     * stalls in between.
     */
    static Source of(Supplier<View> views, BooleanSupplier leaseValid) {
      return confirmedBy(views, leaseValid::getAsBoolean);
    }

    /** Returns a source that also reads, before the view, whether a newer one is overdue. */
    static Source confirmedBy(Supplier<View> views, ViewConfirmation confirmation) {
      return () -> {
        boolean valid = confirmation.leaseValid();
        boolean overdue = !valid && confirmation.overdue();
        return new LeasedView(views.get(), valid, overdue);
      };
    }
  }
}
