/**
 * Limits that keep a proxy and its servers from collapsing under load.
 *
 * <p>{@link org.alderyard.proxy.limit.ServerGate} lets statements to a server: a bounded number at
 * once, a bounded fair queue in front, and an early refusal of what would miss its deadline. {@link
 * org.alderyard.proxy.limit.RetryBudget} bounds resends, and {@link
 * org.alderyard.proxy.limit.ConnectionPacer} the opening of connections. All of them take the time
 * as an argument and start no thread; {@link org.alderyard.proxy.limit.Gates} is the shell.
 */
package org.alderyard.proxy.limit;
