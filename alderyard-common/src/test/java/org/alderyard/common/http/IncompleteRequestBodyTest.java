package org.alderyard.common.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Guards against clients that open many connections and send the headers and half of a body. The
 * request timeout once covered the headers only: such connections stayed open with their buffered
 * bytes for the whole idle timeout, and the host ran out of descriptors.
 */
class IncompleteRequestBodyTest {
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);

  /**
   * Far above the request timeout and far below the idle timeout, so that only the former can
   * expire.
   */
  private static final int CLOSE_WAIT_MILLIS = 20_000;

  private static final int CLIENTS = 50;

  private static final int MAX_RESERVED_BYTES = 2 * 1024 * 1024;

  private static final Executor DELAYED_EXECUTOR =
      CompletableFuture.delayedExecutor(3 * REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);

  private XnioWorker worker;
  private HttpPort port;

  @BeforeEach
  void start() throws Exception {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    HttpLimits limits =
        new HttpLimits(
            16 * 1024, 1024 * 1024, MAX_RESERVED_BYTES, REQUEST_TIMEOUT, Duration.ofMinutes(5));
    port =
        new HttpPort(
            "test",
            new InetSocketAddress("127.0.0.1", 0),
            worker,
            limits,
            Optional.empty(),
            exchange ->
                JsonExchange.handle(
                    exchange,
                    body ->
                        CompletableFuture.supplyAsync(
                            () -> Json.object().put("bytes", body.length), DELAYED_EXECUTOR)));
  }

  @AfterEach
  void stop() {
    port.close();
    worker.shutdownNow();
  }

  @Test
  void connectionsWithIncompleteBodiesAreClosed() throws Exception {
    List<Socket> clients = new ArrayList<>();
    try {
      for (int i = 0; i < CLIENTS; i++) {
        clients.add(send(requestHead(1_000) + "half of a body"));
      }
      for (Socket client : clients) {
        assertThat(isClosed(client)).isTrue();
      }
    } finally {
      for (Socket client : clients) {
        client.close();
      }
    }
  }

  @Test
  void slowBodyDoesNotExtendTheTimeout() throws Exception {
    try (Socket client = send(requestHead(1_000_000))) {
      boolean closed = false;
      long bytesSent = 0;
      while (!closed && bytesSent < 1_000) {
        try {
          client.getOutputStream().write('x');
          bytesSent++;
          TimeUnit.MILLISECONDS.sleep(REQUEST_TIMEOUT.toMillis() / 10);
        } catch (SocketException closedByServer) {
          closed = true;
        }
      }
      assertThat(closed).isTrue();
    }
  }

  @Test
  void requestAboveTheTotalBodyLimitIsRefusedWithRetryAfter() throws Exception {
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      clients.add(send(requestHead(1_000_000) + "half"));
    }
    List<String> refusals = new ArrayList<>();
    for (Socket client : clients) {
      String response = readUntilClosed(client);
      if (!response.isEmpty()) {
        refusals.add(response);
      }
      client.close();
    }
    assertThat(refusals).hasSize(1);
    assertThat(refusals.get(0)).contains("503");
    assertThat(refusals.get(0)).contains("Retry-After: 1");
    assertThat(refusals.get(0)).contains("\"outcome\":\"NOT_RUN\"");
    try (Socket later = send(requestHead(1_000_000) + "x".repeat(1_000_000))) {
      assertThat(later.getInputStream().read(new byte[16])).isEqualTo(16);
    }
  }

  @Test
  void responseMayTakeLongerThanTheRequestTimeout() throws Exception {
    try (Socket client = send(requestHead(4) + "body")) {
      byte[] buffer = new byte[4096];
      int n = client.getInputStream().read(buffer);
      String response = new String(buffer, 0, Math.max(0, n), StandardCharsets.UTF_8);
      assertThat(response).contains("200 OK");
      assertThat(response).contains("{\"bytes\":4}");
    }
  }

  private static String requestHead(int bodyBytes) {
    return "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
  }

  private Socket send(String text) throws IOException {
    Socket socket = new Socket(port.address().getAddress(), port.address().getPort());
    socket.setSoTimeout(CLOSE_WAIT_MILLIS);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  /** Returns whether the server closed the connection, with or without a response. */
  private static boolean isClosed(Socket socket) throws IOException {
    try {
      readUntilClosed(socket);
      return true;
    } catch (SocketTimeoutException stillOpen) {
      return false;
    }
  }

  /** Returns everything that is received until the server closes the connection. */
  private static String readUntilClosed(Socket socket) throws IOException {
    StringBuilder response = new StringBuilder();
    try {
      byte[] buffer = new byte[4096];
      for (int n = socket.getInputStream().read(buffer);
          n >= 0;
          n = socket.getInputStream().read(buffer)) {
        response.append(new String(buffer, 0, n, StandardCharsets.UTF_8));
      }
    } catch (SocketException reset) {
      // A reset counts as the end of the connection, like a close.
    }
    return response.toString();
  }
}
