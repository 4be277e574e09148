package org.alderyard.proxy.quota;

import org.alderyard.common.view.OrganisationQuota;

/** Divides the limit of an organisation among its counters. Implementations are immutable. */
interface LimitShares {
  /** Returns whether each operation is counted before it begins. */
  boolean countsBeforeBegin();

  /** Returns the minimum number of hosts in all availability zones that are counters. */
  int minCounters();

  /** Returns how many of the listed counters share a limit; at least 1 if any is listed. */
  int parts(OrganisationQuota quota, int listed);

  /** Returns the tokens that one counter accrues in a second. */
  double ratePerSecond(OrganisationQuota quota, int parts);

  /** Returns the largest number of tokens of one counter; at least 1. */
  double capacity(OrganisationQuota quota, int parts);

  /** Returns the tokens of a counter at the time at which it takes over its part. */
  double initialTokens(OrganisationQuota quota, int parts);

  /**
   * Returns whether a counter's tokens are plentiful, which is a hint to the hosts that ask it.
   *
   * @param askingHosts the number of hosts that ask this counter first
   */
  boolean plentiful(double tokens, OrganisationQuota quota, int parts, int askingHosts);

  /** Returns the longest time that callers are told to wait, in milliseconds. */
  int maxRetryMillis();

  /** Returns how long after its join a host begins to count, in nanoseconds. */
  long joinDelayNanos();
}
