package org.alderyard.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.http.Json;

/** Asynchronous HTTP client that sends the statements of simulated callers to proxies. */
final class CallerClient {
  private static final Duration RESPONSE_MARGIN = Duration.ofSeconds(1);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();
  private final String pool;
  private final Duration deadline;

  CallerClient(String pool, Duration deadline) {
    this.pool = pool;
    this.deadline = deadline;
  }

  CompletableFuture<CallerReply> send(
      InetSocketAddress proxy, String caller, Optional<String> token, JsonNode statement) {
    URI uri =
        URI.create(
            "http://"
                + proxy.getHostString()
                + ":"
                + proxy.getPort()
                + "/v1/pools/"
                + pool
                + "/statements");
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri)
            .timeout(deadline.plus(RESPONSE_MARGIN))
            .header("Content-Type", "application/json")
            .header("Alderyard-Caller", caller)
            .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(statement)));
    token.ifPresent(value -> request.header("Alderyard-Session", value));
    return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray())
        .handle(CallerClient::toReply);
  }

  private static CallerReply toReply(HttpResponse<byte[]> response, Throwable failure) {
    if (failure != null) {
      Throwable cause = Futures.unwrap(failure);
      boolean connectionRefused = cause instanceof ConnectException;
      return connectionRefused
          ? CallerReply.notSent("CONNECTION_REFUSED")
          : CallerReply.noResponse("NO_ANSWER");
    }
    try {
      return CallerReply.of(
          Json.parseObject(response.body()), response.headers().firstValue("Alderyard-Session"));
    } catch (AlderyardException unreadable) {
      return CallerReply.noResponse("UNREADABLE");
    }
  }
}
