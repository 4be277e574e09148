package org.alderyard.backend.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.ServerConnector;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Opens HTTP connections to backend servers. */
public final class HttpConnector implements ServerConnector {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  private final XnioWorker ioWorker;
  private final WorkerPool workers;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 4);

  /** Creates a connector on the given I/O threads, which the caller shuts down. */
  public HttpConnector(XnioWorker ioWorker, WorkerPool workers) {
    this.ioWorker = ioWorker;
    this.workers = workers;
  }

  @Override
  public CompletableFuture<ServerConnection> connect(InetSocketAddress address, Duration timeout) {
    return open(address, timeout).thenApply(connection -> connection);
  }

  CompletableFuture<HttpServerConnection> open(InetSocketAddress address, Duration timeout) {
    CompletableFuture<HttpServerConnection> opened = new CompletableFuture<>();
    URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort());
    OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<ClientConnection>() {
              @Override
              public void completed(ClientConnection connection) {
                boolean accepted =
                    opened.complete(
                        new HttpServerConnection(connection, workers, MAX_RESPONSE_BYTES));
                if (!accepted) {
                  IoUtils.safeClose(connection);
                }
              }

              @Override
              public void failed(IOException exception) {
                opened.completeExceptionally(
                    AlderyardException.notRun(
                        ErrorCode.CONNECTION_LOST,
                        "cannot connect to " + address + ": " + exception.getMessage()));
              }
            },
            uri,
            ioWorker,
            buffers,
            options);
    var timeoutTask =
        workers.schedule(
            timeout,
            () ->
                opened.completeExceptionally(
                    new AlderyardException(
                        ErrorCode.CONNECTION_LOST,
                        Outcome.NOT_RUN,
                        "cannot connect to " + address + " within " + timeout.toMillis() + " ms")));
    opened.whenComplete((connection, failure) -> timeoutTask.cancel(false));
    return opened;
  }
}
