/**
 * The port to the backend servers: connections, statements, and the calls that replace a primary.
 *
 * <p>{@link org.alderyard.backend.http} speaks the servers' HTTP protocol; another protocol can be
 * put behind {@link org.alderyard.backend.ServerConnector}.
 */
package org.alderyard.backend;
