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

/** A proxy that is asked to end cuts no request. */
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
   * Callers send one request after the other on kept connections while the proxy ends. Each of four
   * of them once got no answer: its request left at the moment when the idle connection was closed.
   * Told to close while the port was open, they connected here anew at once, and the connection
   * that was on its way when the port closed was reset. Now the port closes first, and then each
   * caller is told to close the connection that it kept.
   */
  @Test
  void keptConnectionsAreToldToEndBeforeThePortCloses() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startGroup("g1");
      assertThat(cluster.putTicket(0, 1, TICKET).statusCode()).isEqualTo(200);
      cluster.statementOnceReady(0, "p", READ);

      AtomicInteger answered = new AtomicInteger();
      AtomicInteger cut = new AtomicInteger();
      List<CompletableFuture<Void>> callers = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        callers.add(CompletableFuture.runAsync(() -> callUntilClosed(cluster, answered, cut)));
      }
      while (answered.get() < 20 * CALLERS) {
        Thread.onSpinWait();
      }
      cluster.stopHost(0);
      callers.forEach(CompletableFuture::join);
      assertThat(cut.get()).isEqualTo(0);
    }
  }

  private static void callUntilClosed(
      TestCluster cluster, AtomicInteger answered, AtomicInteger cut) {
    while (true) {
      try {
        cluster.statement(0, "p", Optional.empty(), READ);
        answered.incrementAndGet();
      } catch (ConnectException closed) {
        return;
      } catch (IOException lost) {
        cut.incrementAndGet();
        return;
      } catch (Exception failure) {
        throw new AssertionError(failure);
      }
    }
  }
}
