package org.alderyard.common.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** Receives a JSON body, and sends a JSON answer or a typed error. */
public final class JsonExchange {
  private static final HttpString RETRY_AFTER = new HttpString("Retry-After");
  private static final long MILLIS_PER_SECOND = 1000;

  private JsonExchange() {}

  /** Reads the whole body, and answers with what the handler's future gives. */
  public static void handle(
      HttpServerExchange exchange, Function<byte[], CompletableFuture<JsonNode>> handler) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (ex, body) -> ex.dispatch(SameThreadExecutor.INSTANCE, () -> answer(ex, body, handler)),
            (ex, broken) -> sendError(ex, bodyFault(broken)));
  }

  /**
   * Returns the error of a body that did not come whole: its sender's if it is too large, else the
   * way's, so that it is sent again.
   */
  public static AlderyardException bodyFault(IOException broken) {
    if (broken instanceof RequestTooBigException) {
      return AlderyardException.notRun(ErrorCode.REQUEST_TOO_LARGE, "the body is too large");
    }
    return AlderyardException.notRun(
        ErrorCode.REQUEST_BROKEN_OFF, "the body did not arrive whole: " + broken.getMessage());
  }

  private static void answer(
      HttpServerExchange exchange,
      byte[] body,
      Function<byte[], CompletableFuture<JsonNode>> handler) {
    CompletableFuture<JsonNode> result;
    try {
      result = handler.apply(body);
    } catch (RuntimeException failure) {
      result = CompletableFuture.failedFuture(failure);
    }
    result.whenComplete(
        (node, failure) -> {
          if (failure == null) {
            send(exchange, 200, node);
          } else {
            sendError(exchange, Futures.typed(failure));
          }
        });
  }

  /** Sends a JSON answer. */
  public static void send(HttpServerExchange exchange, int status, JsonNode body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(Json.bytes(body)));
  }

  /** Sends a typed error. */
  public static void sendError(HttpServerExchange exchange, AlderyardException failure) {
    failure
        .retryAfterMillis()
        .ifPresent(
            millis -> {
              long seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
              exchange.getResponseHeaders().put(RETRY_AFTER, seconds);
            });
    send(exchange, failure.code().httpStatus(), Json.error(failure));
  }
}
