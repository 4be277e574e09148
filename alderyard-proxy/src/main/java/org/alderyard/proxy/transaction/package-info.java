/**
 * Transactions of callers: each pinned to one connection of the proxy that opened it.
 *
 * <p>The id names that proxy and its incarnation, so any other proxy can pass a request on to it.
 */
package org.alderyard.proxy.transaction;
