package org.alderyard.proxy.pool;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.alderyard.backend.BackendResponse;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.ServerConnection;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.ManualClock;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.junit.jupiter.api.Test;

/** Tests that connections stay within the allowance and the connection rate. */
class ServerPoolsTest {
  private static final Duration LONG = Duration.ofMinutes(5);
  private static final ServerState SERVER = server(1);

  private static ServerState server(long incarnation) {
    return new ServerState(
        new ServerId("s1"),
        incarnation,
        new GroupId("g1"),
        new ZoneName("lorient"),
        new InetSocketAddress("127.0.0.1", 1),
        ServerStatus.ACTIVE);
  }

  private static AlderyardException failure(CompletableFuture<?> future) {
    return Futures.toAlderyardException(future.handle((value, failure) -> failure).join());
  }

  @Test
  void queuedRequestReceivesTheReleasedConnection() {
    FakeServer server = new FakeServer(2);
    final ServerConnection first = server.pools.acquire(SERVER, LONG).join();
    server.pools.acquire(SERVER, LONG).join();
    CompletableFuture<ServerConnection> third = server.pools.acquire(SERVER, LONG);
    assertThat(third.isDone()).isFalse();
    assertThat(server.pools.takeUse(SERVER.id())).isEqualTo(new PoolUse(2, 2, 1, 0));
    server.pools.release(SERVER, first);
    assertThat(third.join()).isSameInstanceAs(first);
    assertThat(server.open()).isEqualTo(2);
  }

  /**
   * Without a lease the request fails immediately with {@code NOT_RUN}, so that the caller can use
   * another proxy.
   */
  @Test
  void noConnectionIsOpenedWithoutLease() {
    FakeServer server = new FakeServer(0);
    AlderyardException error = failure(server.pools.acquire(SERVER, LONG));
    assertThat(error.code()).isEqualTo(ErrorCode.NO_ELIGIBLE_SERVER);
    assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(server.open()).isEqualTo(0);
  }

  /**
   * The lease of a proxy that is partitioned from the control hosts expires while a statement runs.
   * The connections may by then be granted to other proxies, so the connection in use is closed as
   * well.
   */
  @Test
  void expiredLeaseClosesConnectionsInUse() {
    FakeServer server = new FakeServer(3);
    final ServerConnection inUse = server.pools.acquire(SERVER, LONG).join();
    server.pools.release(SERVER, server.pools.acquire(SERVER, LONG).join());
    server.allowed = 0;
    server.pools.enforceAllowances(List.of(SERVER));
    assertThat(server.open()).isEqualTo(0);
    server.pools.release(SERVER, inUse);
    assertThat(server.pools.takeUse(SERVER.id()).open()).isEqualTo(0);
  }

  /**
   * A server restarts while one statement runs and another is queued. The old connection must be
   * neither reused nor counted for the new incarnation, and the queued request gets a new
   * connection.
   */
  @Test
  void connectionsOfAnEarlierIncarnationAreNotReused() {
    FakeServer server = new FakeServer(1);
    ServerConnection old = server.pools.acquire(SERVER, LONG).join();
    CompletableFuture<ServerConnection> queued = server.pools.acquire(SERVER, LONG);
    server.pools.enforceAllowances(List.of(server(2)));
    assertThat(queued.join()).isNotSameInstanceAs(old);
    server.pools.release(SERVER, old);
    assertThat(old.usable()).isFalse();
    assertThat(server.pools.takeUse(SERVER.id()).open()).isEqualTo(1);
  }

  /**
   * A connection attempt fails while another request is queued. Without a new attempt the queued
   * request would never complete.
   */
  @Test
  void failedOpeningServesTheNextRequest() {
    FakeServer server = new FakeServer(1);
    server.deferConnects = true;
    CompletableFuture<ServerConnection> first = server.pools.acquire(SERVER, LONG);
    final CompletableFuture<ServerConnection> second = server.pools.acquire(SERVER, LONG);
    server.deferConnects = false;
    server
        .pendingConnects
        .remove()
        .completeExceptionally(AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "refused"));
    assertThat(failure(first).code()).isEqualTo(ErrorCode.CONNECTION_LOST);
    assertThat(second.join().usable()).isTrue();
  }

  /**
   * After a failover every proxy connects to the new primary at the same time, and a server that
   * only opens connections answers no statements. Beyond the burst, a request is delayed, or
   * refused immediately if the delay reaches its timeout.
   */
  @Test
  void connectionsBeyondTheBurstAreDelayed() {
    ManualClock clock = new ManualClock();
    FakeServer server = new FakeServer(10);
    try (WorkerPool workers = new WorkerPool("test", 1)) {
      PacedConnector paced =
          new PacedConnector((address, timeout) -> server.connect(), clock, workers, () -> 5, 2);
      for (int i = 0; i < 2; i++) {
        assertThat(paced.connect(SERVER.address(), Duration.ofMillis(100)).join()).isNotNull();
      }
      AlderyardException refused = failure(paced.connect(SERVER.address(), Duration.ofMillis(100)));
      assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(refused.retryAfterMillis().getAsLong()).isEqualTo(201);
      CompletableFuture<ServerConnection> queued = paced.connect(SERVER.address(), LONG);
      assertThat(queued.isDone()).isFalse();
      clock.advance(Duration.ofMillis(200));
      assertThat(queued.join()).isNotNull();
      assertThat(server.open()).isEqualTo(3);
    }
  }

  @Property(seed = "20261202", tries = 200)
  void openConnectionsStayWithinTheMaximumAllowance(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FakeServer server = new FakeServer(4);
    List<ServerConnection> acquired = new ArrayList<>();
    for (int step = 0; step < 300; step++) {
      int action = random.nextInt(5);
      if (action < 2) {
        server.pools.acquire(SERVER, LONG).thenAccept(acquired::add);
      } else if (action < 4 && !acquired.isEmpty()) {
        FakeConnection connection =
            (FakeConnection) acquired.remove(random.nextInt(acquired.size()));
        connection.open &= random.nextInt(4) != 0;
        server.pools.release(SERVER, connection);
      } else {
        server.allowed = 1 + random.nextInt(4);
        server.pools.enforceAllowances(List.of(SERVER));
      }
      assertThat(server.open()).isAtMost(4);
      assertThat(server.pools.takeUse(SERVER.id()).open()).isAtLeast(server.open());
    }
  }

  /** A server that counts its connections, together with the pools of connections to it. */
  private static final class FakeServer {
    final List<FakeConnection> connections = new ArrayList<>();
    final Deque<CompletableFuture<ServerConnection>> pendingConnects = new ArrayDeque<>();
    int allowed;
    boolean deferConnects;
    final ServerPools pools = new ServerPools((address, timeout) -> connect(), id -> allowed);

    FakeServer(int allowed) {
      this.allowed = allowed;
    }

    private CompletableFuture<ServerConnection> connect() {
      if (deferConnects) {
        pendingConnects.add(new CompletableFuture<>());
        return pendingConnects.getLast();
      }
      connections.add(new FakeConnection());
      return CompletableFuture.completedFuture(connections.get(connections.size() - 1));
    }

    int open() {
      return (int) connections.stream().filter(connection -> connection.open).count();
    }
  }

  private static final class FakeConnection implements ServerConnection {
    boolean open = true;

    @Override
    public CompletableFuture<BackendResponse> run(BackendStatement statement, Duration timeout) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> begin(long term, Duration timeout) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<BackendResponse> commit(Duration timeout) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> rollback(Duration timeout) {
      return new CompletableFuture<>();
    }

    @Override
    public boolean usable() {
      return open;
    }

    @Override
    public void close() {
      open = false;
    }
  }
}
