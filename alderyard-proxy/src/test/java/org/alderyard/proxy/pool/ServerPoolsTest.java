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
import org.alderyard.backend.BackendAnswer;
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
import org.alderyard.common.time.PausedClock;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.junit.jupiter.api.Test;

/** Connections that stay within what is allowed. */
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
    return Futures.typed(future.handle((value, failure) -> failure).join());
  }

  @Test
  void oneThatWaitsGetsTheConnectionThatIsGivenBack() {
    Server server = new Server(2);
    final ServerConnection first = server.pools.take(SERVER, LONG).join();
    server.pools.take(SERVER, LONG).join();
    CompletableFuture<ServerConnection> third = server.pools.take(SERVER, LONG);
    assertThat(third.isDone()).isFalse();
    assertThat(server.pools.readUse(SERVER.id())).isEqualTo(new PoolUse(2, 2, 1));
    server.pools.release(SERVER, first);
    assertThat(third.join()).isSameInstanceAs(first);
    assertThat(server.open()).isEqualTo(2);
  }

  /** A proxy that holds no lease says so at once and as not run, so that another one is asked. */
  @Test
  void withoutLeaseNothingIsOpened() {
    Server server = new Server(0);
    AlderyardException error = failure(server.pools.take(SERVER, LONG));
    assertThat(error.code()).isEqualTo(ErrorCode.NO_ELIGIBLE_SERVER);
    assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(server.open()).isEqualTo(0);
  }

  /**
   * A proxy is cut off from the control hosts and its lease ends while a statement runs. The server
   * may have granted the connections to others by then, so the running one is closed as well.
   */
  @Test
  void endedLeaseClosesEvenWhatIsInUse() {
    Server server = new Server(3);
    final ServerConnection used = server.pools.take(SERVER, LONG).join();
    server.pools.release(SERVER, server.pools.take(SERVER, LONG).join());
    server.allowed = 0;
    server.pools.keepToAllowances(List.of(SERVER));
    assertThat(server.open()).isEqualTo(0);
    server.pools.release(SERVER, used);
    assertThat(server.pools.readUse(SERVER.id()).open()).isEqualTo(0);
  }

  /**
   * A server restarts while a statement runs and another one waits. The old connection must not be
   * handed out for the new start, nor be counted there; the one that waits gets a new one.
   */
  @Test
  void connectionsOfAnEarlierStartAreNotHandedOut() {
    Server server = new Server(1);
    ServerConnection old = server.pools.take(SERVER, LONG).join();
    CompletableFuture<ServerConnection> waiting = server.pools.take(SERVER, LONG);
    server.pools.keepToAllowances(List.of(server(2)));
    assertThat(waiting.join()).isNotSameInstanceAs(old);
    server.pools.release(SERVER, old);
    assertThat(old.usable()).isFalse();
    assertThat(server.pools.readUse(SERVER.id()).open()).isEqualTo(1);
  }

  /** A connection attempt fails while others wait for its place: they must not wait for ever. */
  @Test
  void failedOpeningPassesItsPlaceOn() {
    Server server = new Server(1);
    server.hold = true;
    CompletableFuture<ServerConnection> first = server.pools.take(SERVER, LONG);
    final CompletableFuture<ServerConnection> second = server.pools.take(SERVER, LONG);
    server.hold = false;
    server
        .held
        .remove()
        .completeExceptionally(AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "refused"));
    assertThat(failure(first).code()).isEqualTo(ErrorCode.CONNECTION_LOST);
    assertThat(second.join().usable()).isTrue();
  }

  /**
   * After a failover every proxy turns to the new primary at once, and a server that does nothing
   * but open connections answers no statement. Past the burst, one that would wait longer than its
   * caller is refused at once.
   */
  @Test
  void connectionsPastTheBurstWaitForTheirTurn() {
    PausedClock clock = new PausedClock();
    Server server = new Server(10);
    try (WorkerPool workers = new WorkerPool("test", 1)) {
      PacedConnector paced =
          new PacedConnector((address, timeout) -> server.connect(), clock, workers, () -> 5, 2);
      for (int i = 0; i < 2; i++) {
        assertThat(paced.connect(SERVER.address(), Duration.ofMillis(100)).join()).isNotNull();
      }
      AlderyardException refused = failure(paced.connect(SERVER.address(), Duration.ofMillis(100)));
      assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(refused.retryAfterMillis().getAsLong()).isEqualTo(201);
      CompletableFuture<ServerConnection> waiting = paced.connect(SERVER.address(), LONG);
      assertThat(waiting.isDone()).isFalse();
      clock.advance(Duration.ofMillis(200));
      assertThat(waiting.join()).isNotNull();
      assertThat(server.open()).isEqualTo(3);
    }
  }

  @Property(seed = "20261202", tries = 200)
  void openConnectionsStayWithinTheGreatestAllowance(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Server server = new Server(4);
    List<ServerConnection> taken = new ArrayList<>();
    for (int step = 0; step < 300; step++) {
      int action = random.nextInt(5);
      if (action < 2) {
        server.pools.take(SERVER, LONG).thenAccept(taken::add);
      } else if (action < 4 && !taken.isEmpty()) {
        Connection connection = (Connection) taken.remove(random.nextInt(taken.size()));
        connection.open &= random.nextInt(4) != 0;
        server.pools.release(SERVER, connection);
      } else {
        server.allowed = 1 + random.nextInt(4);
        server.pools.keepToAllowances(List.of(SERVER));
      }
      assertThat(server.open()).isAtMost(4);
      assertThat(server.pools.readUse(SERVER.id()).open()).isAtLeast(server.open());
    }
  }

  /** A server that counts its connections, and the pools in front of it. */
  private static final class Server {
    final List<Connection> connections = new ArrayList<>();
    final Deque<CompletableFuture<ServerConnection>> held = new ArrayDeque<>();
    int allowed;
    boolean hold;
    final ServerPools pools = new ServerPools((address, timeout) -> connect(), id -> allowed);

    Server(int allowed) {
      this.allowed = allowed;
    }

    private CompletableFuture<ServerConnection> connect() {
      if (hold) {
        held.add(new CompletableFuture<>());
        return held.getLast();
      }
      connections.add(new Connection());
      return CompletableFuture.completedFuture(connections.get(connections.size() - 1));
    }

    int open() {
      return (int) connections.stream().filter(connection -> connection.open).count();
    }
  }

  private static final class Connection implements ServerConnection {
    boolean open = true;

    @Override
    public CompletableFuture<BackendAnswer> run(BackendStatement statement, Duration timeout) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> begin(long term, Duration timeout) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<BackendAnswer> commit(Duration timeout) {
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
