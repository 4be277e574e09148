/** The connections that this proxy holds to backend servers. */
package org.alderyard.proxy.pool;
