/**
 * Transactions of callers, each pinned to one connection of the proxy that opened it.
 *
 * <p>The ID contains that proxy and its incarnation, so any other proxy can forward a request to
 * it.
 */
package org.alderyard.proxy.transaction;
