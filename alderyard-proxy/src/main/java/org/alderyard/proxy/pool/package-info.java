/** Pools of connections from this proxy to backend servers. */
package org.alderyard.proxy.pool;
