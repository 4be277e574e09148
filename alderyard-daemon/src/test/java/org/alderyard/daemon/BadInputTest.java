package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that malformed client input is refused with a typed error or a closed connection. */
class BadInputTest {
  private static final String READ = "{\"key\":\"k\",\"kind\":\"read\",\"statement\":\"get\"}";
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1"},
        {"kind":"pool","name":"p","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;
  private static final int SOCKET_TIMEOUT_MILLIS = 30_000;

  @TempDir static Path folder;
  private static TestCluster cluster;

  @BeforeAll
  static void start() throws Exception {
    cluster = new TestCluster(folder);
    cluster.startHost("h1");
    cluster.startGroup("g1");
    assertThat(cluster.putTicket(0, 1, TICKET).statusCode()).isEqualTo(200);
    cluster.awaitStatement(0, "p", READ);
  }

  @AfterAll
  static void stop() throws Exception {
    cluster.close();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          {                                                          | 400 | MALFORMED_JSON
          []                                                         | 400 | MALFORMED_JSON
          {"key":"k","key":"l","kind":"read","statement":"get"}      | 400 | MALFORMED_JSON
          {"kind":"read","statement":"get"}                          | 400 | key is missing
          {"key":1,"kind":"read","statement":"get"}                  | 400 | key is 1
          {"key":"k","kind":"look","statement":"get"}                | 400 | kind is
          {"key":"k","kind":"read","statement":"get","parameters":1} | 400 | parameters is 1
          {"key":"k","kind":"read","statement":"get","deadlineMillis":-1} | 400 | deadlineMillis is -1
          {"key":"k","kind":"read","statement":"get","freshness":{"mode":"old"}} | 400 | freshness.mode
          {"key":"k","kind":"read","statement":"steal"}              | 422 | STATEMENT_FAILED
          """)
  void invalidBodyIsRefusedNamingTheField(String body, int status, String text) throws Exception {
    var response = cluster.statement(0, "p", Optional.empty(), body);
    assertThat(response.body()).contains(text);
    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(response.body()).containsMatch("\"outcome\":\"(NOT_RUN|FAILED)\"");
  }

  @Test
  void unknownPoolAndDamagedTokenAreRefused() throws Exception {
    var unknown = cluster.statement(0, "nowhere", Optional.empty(), READ);
    assertThat(unknown.statusCode()).isEqualTo(404);
    assertThat(unknown.body()).contains("POOL_UNKNOWN");
    var damaged = cluster.statement(0, "p", Optional.of("not-a-token"), READ);
    assertThat(damaged.statusCode()).isEqualTo(400);
    assertThat(damaged.body()).contains("TOKEN_");
  }

  @Test
  void bodyOverTheLimitIsRefused() throws Exception {
    String large = "{\"key\":\"" + "x".repeat(2 << 20) + "\"}";
    String response = raw(head("Content-Length: " + large.length()), large);
    assertThat(response).contains("413");
  }

  @Test
  void headersOverTheLimitCloseTheConnection() throws Exception {
    String response = raw(head("X-Filler: " + "x".repeat(64 << 10) + "\r\nContent-Length: 0"), "");
    assertThat(response).doesNotContain("200 OK");
  }

  @Test
  void operatorPortRequiresKey() throws Exception {
    InetSocketAddress port = cluster.hosts.get(0).operatorAddress().orElseThrow();
    String response = send(port, "GET /v1/pools HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    assertThat(response).contains("401");
    assertThat(response).contains("UNAUTHORIZED");
  }

  @Test
  void garbageOnInnerPortClosesOnlyItsConnection() throws Exception {
    for (int attempt = 0; attempt < 20; attempt++) {
      assertThat(send(cluster.hosts.get(0).innerAddress(), "\uffff garbage " + attempt)).isEmpty();
    }
    assertThat(cluster.statement(0, "p", Optional.empty(), READ).statusCode()).isEqualTo(200);
  }

  private static String head(String header) {
    return "POST /v1/pools/p/statements HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        + header
        + "\r\n\r\n";
  }

  private static String raw(String head, String body) throws IOException {
    return send(cluster.hosts.get(0).callerAddress(), head + body);
  }

  /** Sends text and returns everything received until the connection ends. */
  private static String send(InetSocketAddress to, String text) throws IOException {
    StringBuilder response = new StringBuilder();
    try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      try {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
      } catch (IOException closedWhileSending) {
        // The peer may close before it has read everything; its response is read below.
      }
      byte[] buffer = new byte[4096];
      for (int n = socket.getInputStream().read(buffer);
          n > 0;
          n = socket.getInputStream().read(buffer)) {
        response.append(new String(buffer, 0, n, StandardCharsets.UTF_8));
      }
    } catch (java.net.SocketException reset) {
      // A reset ends the connection, like a regular close.
    }
    return response.toString();
  }
}
