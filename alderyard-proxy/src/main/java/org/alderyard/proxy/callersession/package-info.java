/**
 * Caller sessions over pooled connections to backend servers.
 *
 * <p>{@link org.alderyard.proxy.callersession.CallerSession} holds a caller's session values,
 * prepared statements and transaction. {@link org.alderyard.proxy.callersession.StatementRun}
 * selects a server for a statement and retries on another one as long as the statement is known not
 * to have run. {@link org.alderyard.proxy.callersession.GroupRouting} holds the recent state of a
 * group's servers.
 *
 * <p>In a large fleet {@link org.alderyard.proxy.callersession.HolderAssignment} selects the hosts
 * that hold the connections to a group. The other hosts forward their statements with {@link
 * org.alderyard.proxy.callersession.HolderForwarder}, and {@link
 * org.alderyard.proxy.callersession.HeldStatements} runs forwarded statements with the same code as
 * statements of the holder's own callers.
 */
package org.alderyard.proxy.callersession;
