package org.alderyard.common.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** Receives request bodies and sends JSON responses and typed errors. */
public final class JsonExchange {
  private static final HttpString RETRY_AFTER = new HttpString("Retry-After");
  private static final long MILLIS_PER_SECOND = 1000;

  private JsonExchange() {}

  /**
   * Reads the whole body, passes it to the handler and responds with the result of the handler's
   * future.
   */
  public static void handle(
      HttpServerExchange exchange, Function<byte[], CompletableFuture<JsonNode>> handler) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (httpExchange, body) ->
                httpExchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> respond(httpExchange, body, handler)),
            (httpExchange, receiveFailure) -> sendError(httpExchange, bodyError(receiveFailure)));
  }

  /**
   * Returns the error of a body that was not received completely. A body that is too large is the
   * sender's fault; any other failure is treated as a network fault, so that the request is
   * retried.
   */
  public static AlderyardException bodyError(IOException receiveFailure) {
    if (receiveFailure instanceof RequestTooBigException) {
      return AlderyardException.notRun(ErrorCode.REQUEST_TOO_LARGE, "the body is too large");
    }
    return AlderyardException.notRun(
        ErrorCode.REQUEST_BROKEN_OFF,
        "the body was not received completely: " + receiveFailure.getMessage());
  }

  private static void respond(
      HttpServerExchange exchange,
      byte[] body,
      Function<byte[], CompletableFuture<JsonNode>> handler) {
    CompletableFuture<byte[]> result;
    try {
      result = handler.apply(body).thenApply(Json::bytes);
    } catch (RuntimeException | Error failure) {
      // An exception that leaves this method leaves the request without a response.
      result = CompletableFuture.failedFuture(failure);
    }
    result.whenComplete(
        (content, failure) -> {
          if (failure == null) {
            send(exchange, StatusCodes.OK, content);
          } else {
            sendError(exchange, Futures.toAlderyardException(failure));
          }
        });
  }

  /** Sends a JSON response. */
  public static void send(HttpServerExchange exchange, int status, JsonNode body) {
    send(exchange, status, Json.bytes(body));
  }

  private static void send(HttpServerExchange exchange, int status, byte[] content) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(content));
  }

  /**
   * Sends the response for a typed error, with a {@code Retry-After} header if the retry delay is
   * known.
   */
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
