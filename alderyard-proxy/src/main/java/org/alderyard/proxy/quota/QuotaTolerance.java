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
  /** Returns the operations in one window beyond the limit. */
  double operations(OrganisationQuota quota) {
    return overrun * (quota.ratePerSecond() * windowSeconds + quota.burst()) + slack;
  }
}
