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
import org.alderyard.common.id.Addresses;

/** Blocking HTTP client for JSON requests to the processes of a local system. */
public final class LocalHttp {
  static final String OPERATOR_KEY = "local-operator-key";
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  /** Sends a GET request; returns the response body, or empty on an error or a lost response. */
  public Optional<JsonNode> get(InetSocketAddress address, String path) {
    return send(request(address, path).GET().build());
  }

  /** Sends a POST request; returns the response body, or empty on an error or a lost response. */
  public Optional<JsonNode> post(InetSocketAddress address, String path, JsonNode body) {
    return send(
        request(address, path)
            .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body)))
            .build());
  }

  /** Sends a PUT request; returns the response body, or empty on an error or a lost response. */
  public Optional<JsonNode> put(InetSocketAddress address, String path, String body) {
    return send(request(address, path).PUT(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  /** Sends a PUT request; returns the response body, also of an error, or empty if it is lost. */
  public Optional<JsonNode> putAllowingError(InetSocketAddress address, String path, String body) {
    return sendAllowingError(
        request(address, path).PUT(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  /** Sends a POST request; distinguishes a refused connection from a lost response. */
  public PostResult postDetectingRefusal(InetSocketAddress address, String path, JsonNode body) {
    HttpRequest request =
        request(address, path)
            .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body)))
            .build();
    try {
      HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      return new PostResult(false, Optional.of(Json.parseObject(response.body())));
    } catch (ConnectException refused) {
      return new PostResult(true, Optional.empty());
    } catch (IOException | AlderyardException lost) {
      return new PostResult(false, Optional.empty());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return new PostResult(true, Optional.empty());
    }
  }

  /**
   * The result of a POST request.
   *
   * @param refused whether the connection was refused, so that nothing was sent
   * @param response response body, also of an error; empty if there is no response
   */
  public record PostResult(boolean refused, Optional<JsonNode> response) {}

  private static HttpRequest.Builder request(InetSocketAddress address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + Addresses.text(address) + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + OPERATOR_KEY);
  }

  private Optional<JsonNode> send(HttpRequest request) {
    return sendAllowingError(request).filter(body -> !body.has("error"));
  }

  private Optional<JsonNode> sendAllowingError(HttpRequest request) {
    try {
      HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode body = Json.parseObject(response.body());
      boolean failureWithoutErrorBody = response.statusCode() != 200 && !body.has("error");
      return failureWithoutErrorBody ? Optional.empty() : Optional.of(body);
    } catch (IOException | AlderyardException lost) {
      return Optional.empty();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
