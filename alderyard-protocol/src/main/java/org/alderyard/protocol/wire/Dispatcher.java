package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** Dispatches requests to the handlers of the methods that a process serves. */
public final class Dispatcher {
  private final Map<Integer, RawHandler> handlers = new ConcurrentHashMap<>();
  private final Set<Integer> networkThreadMethods = ConcurrentHashMap.newKeySet();

  /**
   * Registers the handler of a method.
   *
   * @throws IllegalStateException if the method number already has a handler
   */
  public <Q extends MessageLite, R extends MessageLite> Dispatcher serve(
      Method<Q, R> method, MethodHandler<Q, R> handler) {
    RawHandler raw =
        (peer, payload) -> handler.handle(peer, parse(method, payload)).thenApply(reply -> reply);
    if (handlers.putIfAbsent(method.number(), raw) != null) {
      throw new IllegalStateException("method " + method.number() + " already has a handler");
    }
    return this;
  }

  /**
   * Registers the handler of a method that runs on the network thread, without a worker.
   *
   * <p>The handler must neither block nor compute for long: the thread serves all connections of
   * the process.
   *
   * @throws IllegalStateException if the method number already has a handler
   */
  public <Q extends MessageLite, R extends MessageLite> Dispatcher serveOnNetworkThread(
      Method<Q, R> method, MethodHandler<Q, R> handler) {
    serve(method, handler);
    networkThreadMethods.add(method.number());
    return this;
  }

  /** Returns whether requests of a method are dispatched on the network thread. */
  boolean runsOnNetworkThread(int method) {
    return networkThreadMethods.contains(method);
  }

  /** Handles one request; failures of any kind complete the future exceptionally. */
  CompletableFuture<MessageLite> dispatch(PeerIdentity peer, int method, ByteString payload) {
    RawHandler handler = handlers.get(method);
    if (handler == null) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.METHOD_NOT_SERVED, "method " + method + " is not served by this host"));
    }
    try {
      return handler.handle(peer, payload);
    } catch (RuntimeException | Error failure) {
      // Also an Error is answered: a request without a reply holds its place on the connection.
      return CompletableFuture.failedFuture(failure);
    }
  }

  private static <Q extends MessageLite> Q parse(Method<Q, ?> method, ByteString payload) {
    try {
      return method.requestParser().parseFrom(payload);
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.notRun(
          ErrorCode.MESSAGE_DAMAGED, "request of " + method.name() + " can't be read");
    }
  }

  private interface RawHandler {
    CompletableFuture<MessageLite> handle(PeerIdentity peer, ByteString payload);
  }
}
