package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that shutdown of a proxy cuts off no request. */
class GracefulShutdownTest {
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1"},
        {"kind":"pool","name":"p","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;
  private static final String READ = "{\"key\":\"k\",\"kind\":\"read\",\"statement\":\"get\"}";
  private static final int CALLERS = 4;

  @TempDir Path folder;

  /**
   * Callers send requests on keep-alive connections while the proxy shuts down.
   *
   * <p>Closing idle connections while the port was open lost requests that were just being sent.
   * When responses announced the close before the port closed, callers reconnected immediately, and
   * the connection pending at the close of the port was reset. The port must therefore close first,
   * and each remaining connection ends with its next response.
   */
  @Test
  void shutdownCutsOffNoRequestOnKeepAliveConnections() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startGroup("g1");
      assertThat(cluster.putTicket(0, 1, TICKET).statusCode()).isEqualTo(200);
      cluster.awaitStatement(0, "p", READ);

      AtomicInteger responses = new AtomicInteger();
      AtomicInteger lostRequests = new AtomicInteger();
      List<CompletableFuture<Void>> callers = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        callers.add(
            CompletableFuture.runAsync(() -> callUntilClosed(cluster, responses, lostRequests)));
      }
      while (responses.get() < 20 * CALLERS) {
        Thread.onSpinWait();
      }
      cluster.stopHost(0);
      callers.forEach(CompletableFuture::join);
      assertThat(lostRequests.get()).isEqualTo(0);
    }
  }

  private static void callUntilClosed(
      TestCluster cluster, AtomicInteger responses, AtomicInteger lostRequests) {
    while (true) {
      try {
        cluster.statement(0, "p", Optional.empty(), READ);
        responses.incrementAndGet();
      } catch (ConnectException closed) {
        return;
      } catch (IOException lost) {
        lostRequests.incrementAndGet();
        return;
      } catch (Exception failure) {
        throw new AssertionError(failure);
      }
    }
  }
}
