/**
 * Replaces the primary of a database group.
 *
 * <p>The control log holds one {@link org.alderyard.control.failover.FailoverRecord} a group, which
 * changes by {@link org.alderyard.control.failover.FailoverStep}s alone. The {@link
 * org.alderyard.control.failover.Director} takes a record and what this host has learned from the
 * servers, and says what to do next; it keeps nothing, so any host can go on where another stopped.
 */
package org.alderyard.control.failover;
