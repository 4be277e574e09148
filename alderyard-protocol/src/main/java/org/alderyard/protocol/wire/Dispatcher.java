package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** The methods that a process serves. */
public final class Dispatcher {
  private final Map<Integer, RawHandler> handlers = new ConcurrentHashMap<>();

  /** Adds a method; a second handler for the same number is a programming error. */
  public <Q extends MessageLite, R extends MessageLite> Dispatcher serve(
      Method<Q, R> method, MethodHandler<Q, R> handler) {
    RawHandler raw =
        (peer, payload) -> handler.handle(peer, parse(method, payload)).thenApply(r -> r);
    if (handlers.putIfAbsent(method.number(), raw) != null) {
      throw new IllegalStateException("method " + method.number() + " is served already");
    }
    return this;
  }

  /** Answers one request; a failure of any kind is in the future. */
  CompletableFuture<MessageLite> dispatch(PeerIdentity peer, int method, ByteString payload) {
    RawHandler handler = handlers.get(method);
    if (handler == null) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.METHOD_NOT_SERVED, "method " + method + " is not served by this host"));
    }
    try {
      return handler.handle(peer, payload);
    } catch (RuntimeException failure) {
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
