/** What watchers and operators ask of the control host that replaces primaries. */
package org.alderyard.protocol.failover;
