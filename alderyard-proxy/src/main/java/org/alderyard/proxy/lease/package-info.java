/** Leases, granted by the control hosts, of connections from this proxy to backend servers. */
package org.alderyard.proxy.lease;
