/**
 * Client API of the backend servers: connections, statements and the calls of a failover.
 *
 * <p>{@link org.alderyard.backend.http} implements the servers' HTTP protocol; other protocols can
 * implement {@link org.alderyard.backend.ServerConnector}.
 */
package org.alderyard.backend;
