/**
 * Limits that protect a proxy and its servers from overload.
 *
 * <p>{@link org.alderyard.proxy.limit.ServerLimiter} bounds the number of concurrent statements per
 * server, queues a bounded number of statements fairly and refuses statements that would miss their
 * deadlines. {@link org.alderyard.proxy.limit.RetryBudget} limits resends, and {@link
 * org.alderyard.proxy.limit.ConnectionPacer} limits the rate at which connections are opened. These
 * classes take the time as an argument and start no threads; {@link
 * org.alderyard.proxy.limit.ServerLimiters} supplies the clock, the lock and the executor.
 */
package org.alderyard.proxy.limit;
