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
 * Guards against a lost handshake that is reported as a rejection. An operator resent a change
 * after a lost reply, and the host that received it forwarded it to a frozen control host, whose
 * kernel accepts connections while the process does not answer the handshake. The operator received
 * 403, which states a fault of the sender.
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
  void handshakeWithFrozenHostFailsAsLostConnection() throws IOException {
    try (ServerSocket frozen = openListener();
        PeerLinks links = new PeerLinks(loops, TestPeers.options("h2", CONNECT_TIMEOUT))) {
      AlderyardException failure = failure(replaceConfiguration(links.linkTo(address(frozen))));

      assertThat(failure.code()).isEqualTo(ErrorCode.CONNECTION_LOST);
      assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    }
  }

  @Test
  void closeDuringTheHandshakeFailsAsLostConnection() throws IOException {
    try (ServerSocket closing = openListener();
        PeerLinks links = new PeerLinks(loops, TestPeers.options("h2", CONNECT_TIMEOUT))) {
      workers.execute(() -> acceptAndClose(closing));

      assertThat(failure(replaceConfiguration(links.linkTo(address(closing)))).code())
          .isEqualTo(ErrorCode.CONNECTION_LOST);
    }
  }

  @Test
  void changeIsRetriedAtNextControlHostIfOneIsFrozen() throws IOException {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.serve(
        ControlMethods.REPLACE_CONFIGURATION,
        (peer, request) ->
            CompletableFuture.completedFuture(
                ReplaceConfigurationReply.newBuilder().setNumber(7).build()));
    try (ServerSocket frozen = openListener();
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
  void rejectedPeerIsNotReportedAsClientError() {
    assertThat(ErrorCode.PEER_REJECTED.httpStatus()).isEqualTo(503);
  }

  private static CompletableFuture<ReplaceConfigurationReply> replaceConfiguration(PeerLink link) {
    return link.call(
        ControlMethods.REPLACE_CONFIGURATION,
        ReplaceConfigurationRequest.getDefaultInstance(),
        Duration.ofSeconds(10));
  }

  private static AlderyardException failure(CompletableFuture<?> call) {
    return Futures.toAlderyardException(assertThrows(CompletionException.class, call::join));
  }

  private static ServerSocket openListener() throws IOException {
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
