import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Calls of operators and servers; follows redirects and turns to the next host after a failure. */
final class Http {
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  private Http() {}

  /** Sends a body to one host after another; returns the host that answered 200. */
  static Optional<InetSocketAddress> post(
      List<InetSocketAddress> hosts, String path, String body) {
    for (InetSocketAddress host : hosts) {
      if (status(host, path, Optional.of(body)) == 200) {
        return Optional.of(host);
      }
    }
    return Optional.empty();
  }

  /** Returns the status of a response; 0 without one. */
  static int status(InetSocketAddress host, String path, Optional<String> body) {
    return call(host, path, body).map(HttpResponse::statusCode).orElse(0);
  }

  /** Returns the body of a response with status 200 to a read. */
  static Optional<String> read(InetSocketAddress host, String path) {
    return call(host, path, Optional.empty())
        .filter(response -> response.statusCode() == 200)
        .map(HttpResponse::body);
  }

  private static Optional<HttpResponse<String>> call(
      InetSocketAddress host, String path, Optional<String> body) {
    String address = "http://" + host.getAddress().getHostAddress() + ":" + host.getPort() + path;
    try {
      for (int redirects = 0; redirects < 3; redirects++) {
        HttpRequest.Builder request =
            HttpRequest.newBuilder(URI.create(address))
                .timeout(Duration.ofSeconds(1))
                .header("Content-Type", "application/json");
        body.ifPresent(text -> request.POST(HttpRequest.BodyPublishers.ofString(text)));
        HttpResponse<String> response =
            CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != 307) {
          return Optional.of(response);
        }
        address = response.headers().firstValue("Location").orElseThrow();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (Exception noResponse) {
      return Optional.empty();
    }
    return Optional.empty();
  }
}
