/**
 * Sessions of callers over pooled connections to backend servers.
 *
 * <p>{@link org.alderyard.proxy.callersession.CallerSession} keeps what a caller set and prepared,
 * and its transaction. {@link org.alderyard.proxy.callersession.StatementRun} looks for a server
 * that may run a statement, and goes on to the next one as long as it is proved that nothing ran.
 * {@link org.alderyard.proxy.callersession.GroupRouting} knows what servers have shown lately.
 *
 * <p>In a large fleet {@link org.alderyard.proxy.callersession.HolderAssignment} says which hosts
 * hold the connections to a group. The other hosts send statements there with {@link
 * org.alderyard.proxy.callersession.HolderForwarding}, and {@link
 * org.alderyard.proxy.callersession.HeldStatements} runs them by the same code that serves callers
 * of the holder itself.
 */
package org.alderyard.proxy.callersession;
