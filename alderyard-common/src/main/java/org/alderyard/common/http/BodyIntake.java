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
 * Bounds how long requests may take to arrive whole, and what they hold until then.
 *
 * <p>Guards against clients that send their headers and half of a body, and nothing more: the time
 * for the parser ends with the headers, so that they kept their connection, its descriptor and what
 * they had sent for as long as a connection may be idle. The time runs from the end of the headers
 * and is not extended by single bytes. It does not bound how long the answer takes.
 */
final class BodyIntake implements HttpHandler {
  /** How soon a client may come back: bodies that arrive are gone within this, on most links. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HttpHandler next;
  private final HttpLimits limits;
  private final AtomicLong heldBytes = new AtomicLong();

  BodyIntake(HttpHandler next, HttpLimits limits) {
    this.next = Objects.requireNonNull(next);
    this.limits = Objects.requireNonNull(limits);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    if (exchange.isRequestComplete()) {
      next.handleRequest(exchange);
      return;
    }
    long bytes = expectedBytes(exchange);
    if (heldBytes.addAndGet(bytes) > limits.maxHeldBytes()) {
      heldBytes.addAndGet(-bytes);
      // What was not read of the body can't be told from the next request.
      exchange.setPersistent(false);
      JsonExchange.sendError(
          exchange,
          AlderyardException.notRun(
              ErrorCode.OVERLOADED, "too many requests are being received", RETRY_AFTER_MILLIS));
      return;
    }
    XnioExecutor.Key timer =
        WorkerUtils.executeAfter(
            exchange.getIoThread(),
            () -> endUnlessWhole(exchange),
            limits.requestTimeout().toMillis(),
            TimeUnit.MILLISECONDS);
    exchange.addExchangeCompleteListener(
        (ended, listeners) -> {
          heldBytes.addAndGet(-bytes);
          timer.remove();
          listeners.proceed();
        });
    next.handleRequest(exchange);
  }

  /** A body of unknown length counts as the largest; one above that is refused when it is read. */
  private long expectedBytes(HttpServerExchange exchange) {
    long declared = exchange.getRequestContentLength();
    return declared < 0 ? limits.maxBodyBytes() : Math.min(declared, limits.maxBodyBytes());
  }

  private static void endUnlessWhole(HttpServerExchange exchange) {
    if (!exchange.isRequestComplete()) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }
}
