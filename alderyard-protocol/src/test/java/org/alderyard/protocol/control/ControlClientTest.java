package org.alderyard.protocol.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.NotLeaderException;
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

/**
 * The retries and the resulting outcome of a request, depending on the replies of the control
 * hosts.
 */
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

  /** Starts a control host that handles announcements with the given handler. */
  private void startHost(MethodHandler<AnnounceRequest, AnnounceReply> handler) {
    hosts.add(
        new InnerServer(
            loops,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            TestPeers.options("control-" + hosts.size(), CONNECT_TIMEOUT),
            new Dispatcher().serve(ControlMethods.ANNOUNCE, handler),
            workers));
  }

  private void startFailingHost(AlderyardException failure) {
    startHost((peer, request) -> CompletableFuture.failedFuture(failure));
  }

  private void startServingHost() {
    startHost(
        (peer, request) -> CompletableFuture.completedFuture(AnnounceReply.getDefaultInstance()));
  }

  /**
   * Starts a control host that receives requests and never replies, so that their outcome is
   * unknown.
   */
  private void startUnresponsiveHost() {
    startHost((peer, request) -> new CompletableFuture<>());
  }

  private CompletableFuture<AnnounceReply> announce(Duration timeout) {
    ControlClient client =
        new ControlClient(links, hosts.stream().map(InnerServer::address).toList(), workers);
    return client.callIdempotent(
        ControlMethods.ANNOUNCE, AnnounceRequest.getDefaultInstance(), timeout);
  }

  private AlderyardException failure(Duration timeout) {
    return Futures.toAlderyardException(
        assertThrows(CompletionException.class, () -> announce(timeout).join()));
  }

  private static AlderyardException notLeader(InetSocketAddress leader) {
    return new NotLeaderException("another host leads", Optional.of(leader), 150);
  }

  /** Returns a client that knows only the first hosts that were started. */
  private ControlClient clientOfFirst(int hostCount) {
    return new ControlClient(
        links, hosts.stream().limit(hostCount).map(InnerServer::address).toList(), workers);
  }

  /** Guards against a search that ends although a host has named a leader outside the list. */
  @Test
  void leaderOutsideListIsFound() {
    AtomicReference<InetSocketAddress> leader = new AtomicReference<>();
    startHost((peer, request) -> CompletableFuture.failedFuture(notLeader(leader.get())));
    startServingHost();
    leader.set(hosts.get(1).address());
    ControlClient client = clientOfFirst(1);

    AnnounceReply reply =
        client
            .callIdempotent(
                ControlMethods.ANNOUNCE, AnnounceRequest.getDefaultInstance(), SHORT_TIMEOUT)
            .join();

    assertThat(reply).isEqualTo(AnnounceReply.getDefaultInstance());
    assertThat(client.preferredHost()).hasValue(hosts.get(1).address());
  }

  /** Guards against a named leader that has failed since and keeps requests from other hosts. */
  @Test
  void namedLeaderThatFailsIsLeftOut() {
    AtomicReference<InetSocketAddress> leader = new AtomicReference<>();
    startHost((peer, request) -> CompletableFuture.failedFuture(notLeader(leader.get())));
    startServingHost();
    startFailingHost(AlderyardException.notRun(ErrorCode.NOT_LEADER, "no longer"));
    leader.set(hosts.get(2).address());

    AnnounceReply reply =
        clientOfFirst(2)
            .callIdempotent(ControlMethods.ANNOUNCE, AnnounceRequest.getDefaultInstance(), TIMEOUT)
            .join();

    assertThat(reply).isEqualTo(AnnounceReply.getDefaultInstance());
  }

  /** Guards against two hosts that name each other as the leader and a request without an end. */
  @Test
  void hostsThatNameEachOtherEndTheSearch() {
    List<InetSocketAddress> leaders = new ArrayList<>();
    startHost((peer, request) -> CompletableFuture.failedFuture(notLeader(leaders.get(1))));
    startHost((peer, request) -> CompletableFuture.failedFuture(notLeader(leaders.get(0))));
    hosts.forEach(host -> leaders.add(host.address()));

    AlderyardException failure = failure(TIMEOUT);

    assertThat(failure.code()).isEqualTo(ErrorCode.NO_QUORUM);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /**
   * Guards against the outcome {@code NOT_RUN} for a request that an earlier host may have
   * executed.
   */
  @Test
  void refusalAfterAttemptWithoutReplyHasUnknownOutcome() {
    startUnresponsiveHost();
    startFailingHost(AlderyardException.notRun(ErrorCode.BAD_REQUEST, "refused by this host"));

    AlderyardException failure = failure(SHORT_TIMEOUT);

    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(failure.code().httpStatus()).isEqualTo(503);
  }

  @Test
  void refusalOfFirstHostIsReturnedUnchanged() {
    startFailingHost(AlderyardException.notRun(ErrorCode.BAD_REQUEST, "no name"));
    startServingHost();

    AlderyardException failure = failure(TIMEOUT);

    assertThat(failure.code()).isEqualTo(ErrorCode.BAD_REQUEST);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /**
   * Guards against a storage or internal fault of one host that ends the retries at other hosts.
   */
  @ParameterizedTest
  @EnumSource(
      names = {"STORAGE_FAILED", "STORAGE_DAMAGED", "INTERNAL", "PEER_REJECTED", "NOT_FOUND"})
  void faultOfOneHostIsRetriedAtTheNext(ErrorCode fault) {
    startFailingHost(AlderyardException.notRun(fault, "fault of this host"));
    startServingHost();

    assertThat(announce(TIMEOUT).join()).isEqualTo(AnnounceReply.getDefaultInstance());
  }

  /**
   * An overloaded leader states the retry delay; other hosts would only forward the request to it.
   */
  @Test
  void overloadedLeaderIsNotRetriedThroughOtherHosts() {
    startFailingHost(AlderyardException.notRun(ErrorCode.OVERLOADED, "too much", 70));
    startServingHost();

    AlderyardException failure = failure(TIMEOUT);

    assertThat(failure.code()).isEqualTo(ErrorCode.OVERLOADED);
    assertThat(failure.retryAfterMillis()).hasValue(70);
  }

  @Test
  void attemptsEndWithTheCallersTimeout() throws Exception {
    // Guards against attempts that continue after the caller's timeout. While a leader is slow for
    // some seconds, servers and operators give up after a second and turn to another host, which
    // retries as well. When the attempts of all these hosts continued, the leader had no capacity
    // left, and hosts kept an old view.
    InetSocketAddress unusedAddress;
    try (ServerSocket socket = new ServerSocket(0)) {
      unusedAddress = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
    AtomicInteger addressLookups = new AtomicInteger();
    ControlClient client =
        new ControlClient(
            links,
            () -> {
              addressLookups.incrementAndGet();
              return List.of(unusedAddress);
            },
            workers);
    assertThrows(
        ExecutionException.class,
        () ->
            client
                .callWithTotalTimeout(
                    ControlMethods.ANNOUNCE,
                    AnnounceRequest.getDefaultInstance(),
                    Duration.ofMillis(100),
                    Duration.ofMillis(250))
                .get(20, TimeUnit.SECONDS));
    int lookupsAtEnd = addressLookups.get();
    TimeUnit.MILLISECONDS.sleep(400);

    assertThat(addressLookups.get()).isEqualTo(lookupsAtEnd);
    assertThat(lookupsAtEnd).isLessThan(30);
  }
}
