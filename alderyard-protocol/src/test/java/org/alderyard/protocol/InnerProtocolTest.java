package org.alderyard.protocol;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.protocol.generated.state.LogPosition;
import org.alderyard.protocol.generated.state.Version;
import org.alderyard.protocol.wire.ClusterKey;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.EventLoops;
import org.alderyard.protocol.wire.InnerServer;
import org.alderyard.protocol.wire.Method;
import org.alderyard.protocol.wire.PeerLink;
import org.alderyard.protocol.wire.ProtocolOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests between two processes: replies, typed errors and rejected peers. */
class InnerProtocolTest {
  private static final Method<Version, LogPosition> ECHO =
      new Method<>(499, "echo", Version.parser(), LogPosition.parser());
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final EventLoops loops = new EventLoops(2);
  private final WorkerPool workers = new WorkerPool("test", 2);
  private final Dispatcher dispatcher =
      new Dispatcher()
          .serve(
              ECHO,
              (peer, request) ->
                  request.getEpoch() == 0
                      ? CompletableFuture.failedFuture(
                          AlderyardException.notRun(ErrorCode.DRAINING, "asked to fail", 250))
                      : CompletableFuture.completedFuture(
                          LogPosition.newBuilder()
                              .setTerm(request.getEpoch())
                              .setIndex(request.getVersion())
                              .build()));
  private final InnerServer server =
      new InnerServer(
          loops,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          options("c1", "the key of the cluster"),
          dispatcher,
          workers);

  @AfterEach
  void close() {
    server.close();
    workers.close();
    loops.close();
  }

  @Test
  void eachRequestReceivesItsOwnReply() {
    try (PeerLink link = link("c1", "the key of the cluster")) {
      CompletableFuture<?>[] calls = new CompletableFuture<?>[200];
      for (int i = 0; i < calls.length; i++) {
        int number = i + 1;
        calls[i] =
            link.call(ECHO, version(number, 7), TIMEOUT)
                .thenAccept(reply -> assertThat(reply.getTerm()).isEqualTo(number));
      }
      CompletableFuture.allOf(calls).join();
    }
  }

  @Test
  void errorKeepsItsCodeOutcomeAndRetryDelay() {
    try (PeerLink link = link("c1", "the key of the cluster")) {
      AlderyardException error = failure(link.call(ECHO, version(0, 0), TIMEOUT));
      assertThat(error.code()).isEqualTo(ErrorCode.DRAINING);
      assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(error.retryAfterMillis().getAsLong()).isEqualTo(250);
    }
  }

  @Test
  void peerWithAnotherKeyIsRejected() {
    try (PeerLink link = link("c1", "a key of somebody else")) {
      assertThat(failure(link.call(ECHO, version(1, 1), TIMEOUT)).code())
          .isEqualTo(ErrorCode.PEER_REJECTED);
    }
  }

  @Test
  void peerOfAnotherClusterIsRejected() {
    try (PeerLink link = link("c2", "the key of the cluster")) {
      assertThat(failure(link.call(ECHO, version(1, 1), TIMEOUT)).code())
          .isEqualTo(ErrorCode.PEER_REJECTED);
    }
  }

  @Test
  void invalidBytesCloseTheConnection() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort())) {
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  private static AlderyardException failure(CompletableFuture<?> call) {
    return Futures.toAlderyardException(assertThrows(CompletionException.class, call::join));
  }

  private static Version version(long epoch, long version) {
    return Version.newBuilder().setEpoch(epoch).setVersion(version).build();
  }

  private PeerLink link(String cluster, String key) {
    return new PeerLink(loops, server.address(), options(cluster, key), MonotonicClock.system());
  }

  private static ProtocolOptions options(String cluster, String key) {
    return new ProtocolOptions(
        cluster,
        new HostId("h1"),
        1,
        new ClusterKey(key.getBytes(StandardCharsets.UTF_8)),
        Duration.ofSeconds(5),
        1000);
  }
}
