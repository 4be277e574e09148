/**
 * Grants of connections: each backend server accepts a few dozen, shared by all proxies.
 *
 * <p>The leading control host grants them as leases. {@link
 * org.alderyard.control.grant.GrantAllocation} says what would be fair, {@link
 * org.alderyard.control.grant.GrantLedger} what is safe: the sum of all grants that may still be in
 * use never exceeds what the server accepts.
 */
package org.alderyard.control.grant;
