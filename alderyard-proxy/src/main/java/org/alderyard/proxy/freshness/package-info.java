/**
 * Tracking of replica freshness and the check whether a replica is fresh enough for a read.
 *
 * <p>{@link org.alderyard.proxy.freshness.GroupFreshness} computes an upper bound for the age of
 * each server's data from {@link org.alderyard.proxy.freshness.Measurement}s, and {@link
 * org.alderyard.proxy.freshness.EligibilityRule} checks servers against reads. All times are
 * nanoseconds of the proxy's own monotonic clock; the clocks of the servers are not used.
 */
package org.alderyard.proxy.freshness;
