package org.alderyard.cli.local;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.http.Json;

/** Blocking JSON requests to the processes of a local system. */
public final class LocalHttp {
  static final String OPERATOR_KEY = "local-operator-key";
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Returns the answer of a GET, if it is 200. */
  public Optional<JsonNode> get(InetSocketAddress to, String path) {
    return send(request(to, path).GET().build());
  }

  /** Returns the answer of a POST, if it is 200. */
  public Optional<JsonNode> post(InetSocketAddress to, String path, JsonNode body) {
    return send(
        request(to, path).POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body))).build());
  }

  /** Returns the answer of a PUT, if it is 200. */
  public Optional<JsonNode> put(InetSocketAddress to, String path, String body) {
    return send(request(to, path).PUT(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  /** Returns the whole answer of a PUT, errors too; nothing when there was none. */
  public Optional<JsonNode> putAny(InetSocketAddress to, String path, String body) {
    return sendAny(request(to, path).PUT(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  /** Sends a POST and tells a refused connection from a request that got no answer. */
  public Sent postCounted(InetSocketAddress to, String path, JsonNode body) {
    HttpRequest request =
        request(to, path).POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body))).build();
    try {
      HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      return new Sent(false, Optional.of(Json.parseObject(response.body())));
    } catch (ConnectException refused) {
      return new Sent(true, Optional.empty());
    } catch (IOException | AlderyardException lost) {
      return new Sent(false, Optional.empty());
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
      return new Sent(true, Optional.empty());
    }
  }

  /**
   * What became of a request.
   *
   * @param refused whether no connection stood, so that nothing was sent
   * @param answer the answer, an error too; empty when there was none
   */
  public record Sent(boolean refused, Optional<JsonNode> answer) {}

  private static HttpRequest.Builder request(InetSocketAddress to, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + text(to) + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + OPERATOR_KEY);
  }

  private Optional<JsonNode> send(HttpRequest request) {
    return sendAny(request).filter(body -> !body.has("error"));
  }

  private Optional<JsonNode> sendAny(HttpRequest request) {
    try {
      HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode body = Json.parseObject(response.body());
      boolean plainFailure = response.statusCode() != 200 && !body.has("error");
      return plainFailure ? Optional.empty() : Optional.of(body);
    } catch (IOException | AlderyardException lost) {
      return Optional.empty();
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
