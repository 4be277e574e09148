/**
 * Typed names and positions that the whole system shares.
 *
 * <p>They write {@code equals}, {@code hashCode} and {@code toString} out. A record links those of
 * its own at first use; for the first record that costs a host which has just started some tens of
 * milliseconds, and several more for each further one, while callers wait for its first view.
 */
package org.alderyard.common.id;
