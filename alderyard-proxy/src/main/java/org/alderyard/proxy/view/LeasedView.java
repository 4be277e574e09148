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
 */
public record LeasedView(View view, boolean leaseValid) {

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
      return () -> {
        boolean valid = leaseValid.getAsBoolean();
        return new LeasedView(views.get(), valid);
      };
    }
  }
}
