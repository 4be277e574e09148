package org.alderyard.protocol.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.protocol.TestPeers;
import org.alderyard.protocol.generated.control.AnnounceReply;
import org.alderyard.protocol.generated.control.AnnounceRequest;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.EventLoops;
import org.alderyard.protocol.wire.InnerServer;
import org.alderyard.protocol.wire.MethodHandler;
import org.alderyard.protocol.wire.PeerLinks;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Where a request goes next, and what is known in the end, by what control hosts answer. */
class ControlClientTest {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

  private final EventLoops loops = new EventLoops(1);
  private final WorkerPool workers = new WorkerPool("test", 1);
  private final PeerLinks links = new PeerLinks(loops, TestPeers.options("entry", CONNECT_TIMEOUT));
  private final List<InnerServer> hosts = new ArrayList<>();

  @AfterEach
  void close() {
    links.close();
    hosts.forEach(InnerServer::close);
    workers.close();
    loops.close();
  }

  /** Starts a control host that answers announcements so. */
  private void host(MethodHandler<AnnounceRequest, AnnounceReply> handler) {
    hosts.add(
        new InnerServer(
            loops,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            TestPeers.options("control-" + hosts.size(), CONNECT_TIMEOUT),
            new Dispatcher().serve(ControlMethods.ANNOUNCE, handler),
            workers));
  }

  private void hostThatFails(AlderyardException failure) {
    host((peer, request) -> CompletableFuture.failedFuture(failure));
  }

  private void hostThatServes() {
    host((peer, request) -> CompletableFuture.completedFuture(AnnounceReply.getDefaultInstance()));
  }

  /** It takes requests, and what it did with them nobody learns. */
  private void hostThatSaysNothing() {
    host((peer, request) -> new CompletableFuture<>());
  }

  private CompletableFuture<AnnounceReply> announce(Duration timeout) {
    ControlClient client =
        new ControlClient(links, hosts.stream().map(InnerServer::address).toList(), workers);
    return client.callIdempotent(
        ControlMethods.ANNOUNCE, AnnounceRequest.getDefaultInstance(), timeout);
  }

  private AlderyardException failure(Duration timeout) {
    return Futures.typed(assertThrows(CompletionException.class, () -> announce(timeout).join()));
  }

  /** Guards against a refusal as "not run" of what an earlier host may have carried out. */
  @Test
  void refusalAfterTryWithoutAnswerStaysUnclear() {
    hostThatSaysNothing();
    hostThatFails(AlderyardException.notRun(ErrorCode.BAD_REQUEST, "not to this host's liking"));

    AlderyardException failure = failure(SHORT_TIMEOUT);

    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(failure.code().httpStatus()).isEqualTo(503);
  }

  @Test
  void refusalOfFirstHostIsGivenAsItIs() {
    hostThatFails(AlderyardException.notRun(ErrorCode.BAD_REQUEST, "no name"));
    hostThatServes();

    AlderyardException failure = failure(TIMEOUT);

    assertThat(failure.code()).isEqualTo(ErrorCode.BAD_REQUEST);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** Guards against one host's broken disk or fault that ends the search for one that serves. */
  @ParameterizedTest
  @EnumSource(
      names = {"STORAGE_FAILED", "STORAGE_DAMAGED", "INTERNAL", "PEER_REJECTED", "NOT_FOUND"})
  void faultOfOneHostSendsTheRequestToTheNext(ErrorCode fault) {
    hostThatFails(AlderyardException.notRun(fault, "my own fault"));
    hostThatServes();

    assertThat(announce(TIMEOUT).join()).isEqualTo(AnnounceReply.getDefaultInstance());
  }

  /** A leader that is overloaded says when to come back; other hosts would only send to it. */
  @Test
  void overloadedLeaderIsNotAskedAgainThroughOthers() {
    hostThatFails(AlderyardException.notRun(ErrorCode.OVERLOADED, "too much", 70));
    hostThatServes();

    AlderyardException failure = failure(TIMEOUT);

    assertThat(failure.code()).isEqualTo(ErrorCode.OVERLOADED);
    assertThat(failure.retryAfterMillis()).hasValue(70);
  }

  @Test
  void triesEndWithTheTimeOfWhoWaitsForThem() throws Exception {
    // A leader is slow for some seconds. Servers and operators give up after a second and turn to
    // another host, which tries for them as well; when the tries of all these hosts went on, the
    // leader had no time left for anybody, and hosts stayed on an old view.
    InetSocketAddress nobody;
    try (ServerSocket free = new ServerSocket(0)) {
      nobody = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    AtomicInteger looks = new AtomicInteger();
    ControlClient client =
        new ControlClient(
            links,
            () -> {
              looks.incrementAndGet();
              return List.of(nobody);
            },
            workers);
    assertThrows(
        ExecutionException.class,
        () ->
            client
                .callWithin(
                    ControlMethods.ANNOUNCE,
                    AnnounceRequest.getDefaultInstance(),
                    Duration.ofMillis(100),
                    Duration.ofMillis(250))
                .get(20, TimeUnit.SECONDS));
    int ended = looks.get();
    TimeUnit.MILLISECONDS.sleep(400);

    assertThat(looks.get()).isEqualTo(ended);
    assertThat(ended).isLessThan(30);
  }
}
