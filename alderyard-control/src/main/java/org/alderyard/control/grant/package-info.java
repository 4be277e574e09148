/**
 * Connection grants: leases that divide the connections of each backend server among all proxies. A
 * server accepts a few dozen connections.
 *
 * <p>The leader of the control hosts issues the grants. {@link
 * org.alderyard.control.grant.GrantAllocation} computes the fair share of each proxy. {@link
 * org.alderyard.control.grant.GrantLedger} limits the shares so that the sum of all grants that may
 * still be in use stays within the connections that the server accepts.
 */
package org.alderyard.control.grant;
