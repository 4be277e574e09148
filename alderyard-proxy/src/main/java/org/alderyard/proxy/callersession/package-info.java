/**
 * Sessions of callers over pooled connections to backend servers.
 *
 * <p>{@link org.alderyard.proxy.callersession.CallerSession} keeps what a caller set and prepared,
 * and its transaction. {@link org.alderyard.proxy.callersession.StatementRun} looks for a server
 * that may run a statement, and goes on to the next one as long as it is proved that nothing ran.
 * {@link org.alderyard.proxy.callersession.GroupRouting} knows what servers have shown lately.
 */
package org.alderyard.proxy.callersession;
