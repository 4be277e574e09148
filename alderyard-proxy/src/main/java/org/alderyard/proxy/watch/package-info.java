/**
 * Failure detection of primaries on behalf of the control hosts.
 *
 * <p>Each proxy probes the primaries that {@link org.alderyard.common.watch.WatcherAssignment}
 * assigns to it, evaluates their response times, and reports all suspected primaries in one
 * message.
 */
package org.alderyard.proxy.watch;
