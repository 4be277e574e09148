/**
 * Limits the operations that organisations begin, counted over all hosts.
 *
 * <p>Some hosts are counters. Each organisation has one counter in each availability zone, and each
 * counter grants an equal part of the organisation's rate and burst. A host that begins operations
 * takes the right to do so from a counter, in its own availability zone first, and refuses an
 * operation only if all counters have granted their parts. While one counter fails, the others
 * still grant theirs.
 *
 * <p>Where the limit is far, an operation begins before it is counted, so that it does not wait for
 * a counter. How many may do so at a time is bounded by the tolerance of the limit.
 *
 * <p>With {@link org.alderyard.proxy.quota.QuotaCounters#DEMAND}, each operation is counted before
 * it begins, the tolerance raises the rate and the burst that counters grant, and hosts ask the
 * counters that have enough tokens. See docs/design/demand-based-quotas.md.
 */
package org.alderyard.proxy.quota;
