/**
 * Sessions on backend servers: connections with session values, prepared statements and a
 * transaction.
 *
 * <p>The types model requests and replies; implementations of {@link
 * org.alderyard.backend.session.SessionConnector} define the wire format.
 */
package org.alderyard.backend.session;
