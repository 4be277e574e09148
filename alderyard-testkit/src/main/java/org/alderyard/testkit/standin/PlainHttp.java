package org.alderyard.testkit.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.alderyard.backend.http.BackendJson;
import org.alderyard.common.error.AlderyardException;

/** Blocking HTTP client for requests with JSON bodies, used for announcements and replication. */
final class PlainHttp {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().connectTimeout(TIMEOUT).version(HttpClient.Version.HTTP_1_1).build();

  private PlainHttp() {}

  static JsonNode post(InetSocketAddress to, String path, JsonNode body) throws IOException {
    URI uri = URI.create("http://" + to.getHostString() + ":" + to.getPort() + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(TIMEOUT)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofByteArray(BackendJson.serialize(body)))
            .build();
    try {
      HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
      if (response.statusCode() != 200) {
        throw new IOException(path + " responded with status " + response.statusCode());
      }
      return BackendJson.parse(response.body());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("request interrupted", interrupted);
    } catch (AlderyardException invalidBody) {
      throw new IOException(invalidBody);
    }
  }
}
