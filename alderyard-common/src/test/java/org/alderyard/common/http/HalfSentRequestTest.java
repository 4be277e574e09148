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
 * Clients open many connections, send headers and half of a body, and nothing more. The time for a
 * request ended only those that had sent half of their headers: the others stayed open for as long
 * as the idle time, with what they had sent in memory, and the host ran out of descriptors.
 */
class HalfSentRequestTest {
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);

  /** Far above the time for a request, far below the idle time, so that only the former passes. */
  private static final int ENDED_WITHIN_MILLIS = 20_000;

  private static final int CLIENTS = 50;

  private static final int HELD_BYTES = 2 * 1024 * 1024;

  private static final Executor LATER =
      CompletableFuture.delayedExecutor(3 * REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);

  private XnioWorker worker;
  private HttpPort port;

  @BeforeEach
  void start() throws Exception {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    HttpLimits limits =
        new HttpLimits(16 * 1024, 1024 * 1024, HELD_BYTES, REQUEST_TIMEOUT, Duration.ofMinutes(5));
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
                            () -> Json.object().put("bytes", body.length), LATER)));
  }

  @AfterEach
  void stop() {
    port.close();
    worker.shutdownNow();
  }

  @Test
  void requestsWithHalfOfTheirBodyAreEnded() throws Exception {
    List<Socket> clients = new ArrayList<>();
    try {
      for (int i = 0; i < CLIENTS; i++) {
        clients.add(send(head(1_000) + "half of a body"));
      }
      for (Socket client : clients) {
        assertThat(ended(client)).isTrue();
      }
    } finally {
      for (Socket client : clients) {
        client.close();
      }
    }
  }

  @Test
  void bodyThatDripsDoesNotExtendTheTime() throws Exception {
    try (Socket client = send(head(1_000_000))) {
      boolean closed = false;
      long bytesSent = 0;
      while (!closed && bytesSent < 1_000) {
        try {
          client.getOutputStream().write('x');
          bytesSent++;
          TimeUnit.MILLISECONDS.sleep(REQUEST_TIMEOUT.toMillis() / 10);
        } catch (SocketException ended) {
          closed = true;
        }
      }
      assertThat(closed).isTrue();
    }
  }

  @Test
  void requestBeyondWhatAllMayHoldIsToldToComeBack() throws Exception {
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      clients.add(send(head(1_000_000) + "half"));
    }
    List<String> refusals = new ArrayList<>();
    for (Socket client : clients) {
      String answer = answer(client);
      if (!answer.isEmpty()) {
        refusals.add(answer);
      }
      client.close();
    }
    assertThat(refusals).hasSize(1);
    assertThat(refusals.get(0)).contains("503");
    assertThat(refusals.get(0)).contains("Retry-After: 1");
    assertThat(refusals.get(0)).contains("\"outcome\":\"NOT_RUN\"");
    try (Socket later = send(head(1_000_000) + "x".repeat(1_000_000))) {
      assertThat(later.getInputStream().read(new byte[16])).isEqualTo(16);
    }
  }

  @Test
  void wholeRequestMayTakeLongerToAnswer() throws Exception {
    try (Socket client = send(head(4) + "body")) {
      byte[] buffer = new byte[4096];
      int n = client.getInputStream().read(buffer);
      String answer = new String(buffer, 0, Math.max(0, n), StandardCharsets.UTF_8);
      assertThat(answer).contains("200 OK");
      assertThat(answer).contains("{\"bytes\":4}");
    }
  }

  private static String head(int bodyBytes) {
    return "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
  }

  private Socket send(String text) throws IOException {
    Socket socket = new Socket(port.address().getAddress(), port.address().getPort());
    socket.setSoTimeout(ENDED_WITHIN_MILLIS);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  /** Returns whether the port ended the connection, with or without an answer before. */
  private static boolean ended(Socket socket) throws IOException {
    try {
      answer(socket);
      return true;
    } catch (SocketTimeoutException open) {
      return false;
    }
  }

  /** Returns what comes until the port ends the connection. */
  private static String answer(Socket socket) throws IOException {
    StringBuilder answer = new StringBuilder();
    try {
      byte[] buffer = new byte[4096];
      for (int n = socket.getInputStream().read(buffer);
          n >= 0;
          n = socket.getInputStream().read(buffer)) {
        answer.append(new String(buffer, 0, n, StandardCharsets.UTF_8));
      }
    } catch (SocketException reset) {
      // A reset ends the connection as well as a close does.
    }
    return answer.toString();
  }
}
