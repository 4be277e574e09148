package org.alderyard.common.http;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Guards against a request without a response, as its handler ended with an error. */
class FailedHandlerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  @Test
  void errorOfHandlerIsAnswered() throws Exception {
    List<Function<byte[], CompletableFuture<JsonNode>>> handlers =
        List.of(
            body -> {
              throw new StackOverflowError();
            },
            body -> {
              throw new IllegalStateException();
            },
            body -> CompletableFuture.failedFuture(new StackOverflowError()),
            body -> null,
            body -> CompletableFuture.completedFuture(endless()));

    for (Function<byte[], CompletableFuture<JsonNode>> handler : handlers) {
      HttpResponse<String> response = post(handler);
      assertThat(response.statusCode()).isEqualTo(500);
      assertThat(response.body()).contains("INTERNAL");
    }
  }

  /** Returns a value that can't be written with any stack. */
  private static JsonNode endless() {
    var loop = Json.object();
    loop.set("loop", loop);
    return loop;
  }

  private static HttpResponse<String> post(Function<byte[], CompletableFuture<JsonNode>> handler)
      throws Exception {
    XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
    try (HttpPort port =
        new HttpPort(
            "test",
            new InetSocketAddress("127.0.0.1", 0),
            worker,
            new HttpLimits(16 * 1024, 1024 * 1024, TIMEOUT, TIMEOUT),
            Optional.empty(),
            exchange -> JsonExchange.handle(exchange, handler))) {
      return HttpClient.newHttpClient()
          .send(
              HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port.address().getPort()))
                  .timeout(TIMEOUT)
                  .POST(HttpRequest.BodyPublishers.ofString("{}"))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
    } finally {
      worker.shutdownNow();
    }
  }
}
