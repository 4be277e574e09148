/** The methods that watchers and operators call on the control host that replaces primaries. */
package org.alderyard.protocol.failover;
