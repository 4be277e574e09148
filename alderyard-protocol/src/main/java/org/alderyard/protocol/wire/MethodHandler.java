package org.alderyard.protocol.wire;

import java.util.concurrent.CompletableFuture;

/**
 * Handles the requests of one method.
 *
 * @param <Q> the type of the request
 * @param <R> the type of the reply
 */
@FunctionalInterface
public interface MethodHandler<Q, R> {

  /** Returns the reply, or a future that fails with a typed error. */
  CompletableFuture<R> handle(PeerIdentity peer, Q request);
}
