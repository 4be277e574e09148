package org.alderyard.protocol.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.protocol.TestPeers;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.ReplaceConfigurationReply;
import org.alderyard.protocol.generated.control.ReplaceConfigurationRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * An operator sends a change again, since the answer was lost, and is told 403: not allowed. The
 * host that took it passed it to a control host that was frozen: its kernel accepts connections and
 * nobody shakes hands. The lost handshake was taken for a rejection, which is the sender's fault.
 */
class LostHandshakeTest {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
  private final EventLoops loops = new EventLoops(1);
  private final WorkerPool workers = new WorkerPool("test", 1);

  @AfterEach
  void close() {
    workers.close();
    loops.close();
  }

  @Test
  void frozenHostIsLostConnection() throws IOException {
    try (ServerSocket frozen = listener();
        PeerLinks links = new PeerLinks(loops, TestPeers.options("h2", CONNECT_TIMEOUT))) {
      AlderyardException failure = failure(replace(links.to(address(frozen))));

      assertThat(failure.code()).isEqualTo(ErrorCode.CONNECTION_LOST);
      assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    }
  }

  @Test
  void hostThatEndsDuringTheHandshakeIsLostConnection() throws IOException {
    try (ServerSocket dying = listener();
        PeerLinks links = new PeerLinks(loops, TestPeers.options("h2", CONNECT_TIMEOUT))) {
      workers.execute(() -> acceptAndClose(dying));

      assertThat(failure(replace(links.to(address(dying)))).code())
          .isEqualTo(ErrorCode.CONNECTION_LOST);
    }
  }

  @Test
  void changeGoesToNextControlHostWhenOneIsFrozen() throws IOException {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.serve(
        ControlMethods.REPLACE_CONFIGURATION,
        (peer, request) ->
            CompletableFuture.completedFuture(
                ReplaceConfigurationReply.newBuilder().setNumber(7).build()));
    try (ServerSocket frozen = listener();
        InnerServer live =
            new InnerServer(
                loops,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                TestPeers.options("h1", CONNECT_TIMEOUT),
                dispatcher,
                workers);
        PeerLinks links = new PeerLinks(loops, TestPeers.options("h2", CONNECT_TIMEOUT))) {
      ControlClient control =
          new ControlClient(links, List.of(address(frozen), live.address()), workers);

      assertThat(
              control
                  .callIdempotent(
                      ControlMethods.REPLACE_CONFIGURATION,
                      ReplaceConfigurationRequest.getDefaultInstance(),
                      Duration.ofSeconds(10))
                  .join()
                  .getNumber())
          .isEqualTo(7);
    }
  }

  @Test
  void rejectionOfHostByAnotherIsNotTheFaultOfWhoSentTheRequest() {
    assertThat(ErrorCode.PEER_REJECTED.httpStatus()).isEqualTo(503);
  }

  private static CompletableFuture<ReplaceConfigurationReply> replace(PeerLink link) {
    return link.call(
        ControlMethods.REPLACE_CONFIGURATION,
        ReplaceConfigurationRequest.getDefaultInstance(),
        Duration.ofSeconds(10));
  }

  private static AlderyardException failure(CompletableFuture<?> call) {
    return Futures.typed(assertThrows(CompletionException.class, call::join));
  }

  private static ServerSocket listener() throws IOException {
    return new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  }

  private static InetSocketAddress address(ServerSocket listener) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
  }

  private static void acceptAndClose(ServerSocket listener) {
    try {
      listener.accept().close();
    } catch (IOException closed) {
      throw new IllegalStateException(closed);
    }
  }
}
