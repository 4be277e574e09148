package org.alderyard.proxy.view;

/** Whether the control hosts confirm the view that this host acts on. */
@FunctionalInterface
public interface ViewConfirmation {

  /** Returns whether the control hosts have recently confirmed this view or an older one. */
  boolean leaseValid();

  /**
   * Returns whether the control hosts are known to have a newer view that this host has not
   * received in time. A host without a lease that is only cut off does not know of one.
   */
  default boolean overdue() {
    return false;
  }
}
