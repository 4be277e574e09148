/**
 * Failover of database groups: replaces the primary of a group.
 *
 * <p>The control log holds one {@link org.alderyard.control.failover.FailoverRecord} for each
 * group, which is changed only by {@link org.alderyard.control.failover.FailoverStep}s. The {@link
 * org.alderyard.control.failover.Director} decides the next action from a record and from the
 * server responses that this host has received. It is stateless, so that any host can continue a
 * failover that another host has begun.
 */
package org.alderyard.control.failover;
