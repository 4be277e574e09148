/**
 * Watches primaries for the control hosts.
 *
 * <p>Each proxy watches the primaries that {@link org.alderyard.common.watch.WatcherAssignment}
 * gives it, judges them by their measured response times, and reports all that it suspects in one
 * message.
 */
package org.alderyard.proxy.watch;
