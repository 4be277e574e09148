package org.alderyard.proxy.quota;

import org.alderyard.common.view.OrganisationQuota;

/**
 * How far the operations of an organisation in one window may exceed its limit.
 *
 * @param windowSeconds the length of a window
 * @param overrun the fraction of the limit by which it may be exceeded
 * @param slack the operations by which it may be exceeded in addition
 */
public record QuotaTolerance(double windowSeconds, double overrun, double slack) {
  /** Fraction for what a counter grants when it takes over, not knowing earlier grants. */
  private static final double INITIAL_FRACTION = 0.15;

  /** Fraction for operations that hosts begin before they ask. */
  private static final double UNASKED_FRACTION = 0.45;

  /** Fraction for operations that hosts begin after their start, before they ask for the first. */
  private static final double START_FRACTION = 0.2;

  /** Returns the operations that all counters together may grant when they take over. */
  double initialOperations(OrganisationQuota quota) {
    return INITIAL_FRACTION * operations(quota);
  }

  /** Returns the operations that may be begun and not counted yet. */
  double unaskedOperations(OrganisationQuota quota) {
    return UNASKED_FRACTION * operations(quota);
  }

  /** Returns the operations that all hosts together may begin after their start. */
  double startOperations(OrganisationQuota quota) {
    return START_FRACTION * operations(quota);
  }

  /** Returns the operations in one window beyond the limit. */
  double operations(OrganisationQuota quota) {
    return overrun * (quota.ratePerSecond() * windowSeconds + quota.burst()) + slack;
  }
}
