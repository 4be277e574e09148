package org.alderyard.common.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.xnio.XnioWorker;

/** A listening HTTP port with its limits. */
public final class HttpPort implements AutoCloseable {
  private final Undertow undertow;
  // Guarded by this.
  private boolean closed;

  /**
   * Binds the port.
   *
   * @param name the purpose of the port, for the error message if it can't be bound
   * @param tls the TLS context of the port; if empty, the port serves plain HTTP
   * @throws AlderyardException with {@code SETTINGS_INVALID} if the address can't be bound
   */
  public HttpPort(
      String name,
      InetSocketAddress address,
      XnioWorker worker,
      HttpLimits limits,
      Optional<SSLContext> tls,
      HttpHandler handler) {
    Undertow.Builder builder =
        Undertow.builder()
            .setWorker(worker)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes())
            .setServerOption(
                UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) limits.requestTimeout().toMillis())
            .setServerOption(
                UndertowOptions.NO_REQUEST_TIMEOUT, (int) limits.idleTimeout().toMillis())
            .setHandler(new RequestBodyLimiter(handler, limits));
    String host = address.getAddress().getHostAddress();
    if (tls.isPresent()) {
      builder.addHttpsListener(address.getPort(), host, tls.get());
    } else {
      builder.addHttpListener(address.getPort(), host);
    }
    undertow = builder.build();
    start(name, address);
  }

  private void start(String name, InetSocketAddress address) {
    try {
      undertow.start();
    } catch (RuntimeException failure) {
      boolean inUse = failure.getCause() instanceof BindException;
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          name
              + " port "
              + address
              + " can't be bound: "
              + (inUse ? "the address is in use" : failure.getMessage()));
    }
  }

  /** Returns the bound address, with the assigned port if port 0 was requested. */
  public InetSocketAddress address() {
    return (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
  }

  /**
   * Stops accepting connections. Open connections stay open while the worker of the port runs.
   * Further calls have no effect.
   */
  @Override
  public synchronized void close() {
    if (!closed) {
      closed = true;
      undertow.stop();
    }
  }
}
