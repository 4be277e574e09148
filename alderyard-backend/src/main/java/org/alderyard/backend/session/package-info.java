/**
 * Sessions on backend servers: connections that keep values, prepared statements and a transaction.
 *
 * <p>The types say what is asked and answered; how it is written on a connection is the concern of
 * an implementation of {@link org.alderyard.backend.session.SessionConnector}.
 */
package org.alderyard.backend.session;
