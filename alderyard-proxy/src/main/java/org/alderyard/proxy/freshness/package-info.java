/**
 * How fresh each replica is, and whether that is fresh enough for a read.
 *
 * <p>Measurements of the servers come in as {@link org.alderyard.proxy.freshness.Measurement};
 * {@link org.alderyard.proxy.freshness.GroupFreshness} turns them into an age that is never too
 * small, and {@link org.alderyard.proxy.freshness.EligibilityRule} decides. All times are of the
 * proxy's own monotonic clock, in nanoseconds; no clock of a server is read.
 */
package org.alderyard.proxy.freshness;
