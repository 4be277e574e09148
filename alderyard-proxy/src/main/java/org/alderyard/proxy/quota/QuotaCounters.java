package org.alderyard.proxy.quota;

/** How the limit of an organisation is divided among the hosts that count its operations. */
public enum QuotaCounters {
  /** An equal part for each availability zone; some operations begin before they are counted. */
  ZONES {
    @Override
    LimitShares shares(QuotaTolerance tolerance) {
      return new ZoneShares(tolerance);
    }
  },
  /** Shares that include the tolerance, used where there are tokens; each operation is counted. */
  DEMAND {
    @Override
    LimitShares shares(QuotaTolerance tolerance) {
      return new DemandShares(tolerance);
    }
  };

  /** Returns the division of limits for a tolerance. */
  abstract LimitShares shares(QuotaTolerance tolerance);
}
