package org.alderyard.common.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.WorkerUtils;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Limits the time in which a request body must arrive and the memory reserved for bodies that are
 * being received.
 *
 * <p>The parse timeout of the server covers the headers only. Without this handler, a client that
 * sends its headers and half of a body keeps its connection, descriptor and buffered bytes for the
 * whole idle timeout. The timeout starts at the end of the headers and is not extended by further
 * bytes. It does not limit the time that the response takes.
 */
final class RequestBodyLimiter implements HttpHandler {
  /**
   * On most links, bodies that are being received are complete within this time, which frees their
   * memory.
   */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HttpHandler next;
  private final HttpLimits limits;
  private final AtomicLong reservedBytes = new AtomicLong();

  RequestBodyLimiter(HttpHandler next, HttpLimits limits) {
    this.next = Objects.requireNonNull(next);
    this.limits = Objects.requireNonNull(limits);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    if (exchange.isRequestComplete()) {
      next.handleRequest(exchange);
      return;
    }
    long bytes = bytesToReserve(exchange);
    if (reservedBytes.addAndGet(bytes) > limits.maxReservedBytes()) {
      reservedBytes.addAndGet(-bytes);
      // The unread rest of the body can't be distinguished from the next request.
      exchange.setPersistent(false);
      JsonExchange.sendError(
          exchange,
          AlderyardException.notRun(
              ErrorCode.OVERLOADED,
              "the memory limit for request bodies is reached",
              RETRY_AFTER_MILLIS));
      return;
    }
    XnioExecutor.Key timer =
        WorkerUtils.executeAfter(
            exchange.getIoThread(),
            () -> closeIfIncomplete(exchange),
            limits.requestTimeout().toMillis(),
            TimeUnit.MILLISECONDS);
    exchange.addExchangeCompleteListener(
        (completedExchange, listeners) -> {
          reservedBytes.addAndGet(-bytes);
          timer.remove();
          listeners.proceed();
        });
    next.handleRequest(exchange);
  }

  /**
   * Returns the bytes to reserve for a body. A body of unknown length counts as the largest
   * accepted one; a longer body is refused when it is read.
   */
  private long bytesToReserve(HttpServerExchange exchange) {
    long declared = exchange.getRequestContentLength();
    return declared < 0 ? limits.maxBodyBytes() : Math.min(declared, limits.maxBodyBytes());
  }

  private static void closeIfIncomplete(HttpServerExchange exchange) {
    if (!exchange.isRequestComplete()) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }
}
