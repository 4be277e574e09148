package org.alderyard.proxy.pool;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.PooledConnection;
import org.alderyard.backend.session.ConnectRefusedException;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.junit.jupiter.api.Test;

/** A server that still counts the connections of hosts that were lost, and takes no others. */
class FullServerTest {
  private static final Duration LONG = Duration.ofMinutes(5);
  private static final ServerState SERVER =
      new ServerState(
          new ServerId("s1"),
          1,
          new GroupId("g1"),
          new ZoneName("z1"),
          new InetSocketAddress("127.0.0.1", 1),
          ServerStatus.ACTIVE);

  private static final class Connection implements PooledConnection {
    private boolean closed;

    @Override
    public boolean usable() {
      return !closed;
    }

    @Override
    public void close() {
      closed = true;
    }
  }

  private long nowMillis = 1_000;
  private int room;
  private int asked;
  private final ConnectionPools<Connection> pools =
      new ConnectionPools<>(
          (server, timeout) -> connect(),
          server -> 2,
          () -> TimeUnit.MILLISECONDS.toNanos(nowMillis));

  private CompletableFuture<Connection> connect() {
    asked++;
    if (room == 0) {
      return CompletableFuture.failedFuture(
          new ConnectRefusedException(RefusalCode.CONNECTION_LIMIT, "full"));
    }
    room--;
    return CompletableFuture.completedFuture(new Connection());
  }

  @Test
  void statementsThatWaitDoNotStormServer() {
    // All hosts lost power and came back in two seconds; the servers counted the dead connections
    // for another one. Each of hundreds of statements asked for a connection, again and again:
    // 1,600 refusals in a second, on hosts whose code was cold.
    List<CompletableFuture<Connection>> taken = new ArrayList<>();
    for (int statement = 0; statement < 200; statement++) {
      nowMillis += 5;
      taken.add(pools.take(SERVER, LONG));
    }

    assertThat(asked).isAtMost(10);
    for (CompletableFuture<Connection> none : taken) {
      Throwable failure = none.handle((connection, why) -> why).join();
      assertThat(Futures.typed(failure).code()).isEqualTo(ErrorCode.NO_ELIGIBLE_SERVER);
    }
  }

  @Test
  void serverIsAskedAgainOnceTheDeadConnectionsAreGone() {
    pools.take(SERVER, LONG);
    room = 1;
    nowMillis += 200;

    assertThat(pools.take(SERVER, LONG).join().usable()).isTrue();
  }

  @Test
  void statementWaitsForTheOneConnectionThatThereIs() {
    // There is room for one connection of this host: the second statement gets it after the
    // first, instead of asking the server in vain or going without.
    room = 1;
    final Connection only = pools.take(SERVER, LONG).join();
    pools.take(SERVER, LONG);
    CompletableFuture<Connection> waiting = pools.take(SERVER, LONG);
    assertThat(waiting.isDone()).isFalse();

    pools.release(SERVER, only);

    assertThat(waiting.join()).isSameInstanceAs(only);
    assertThat(asked).isEqualTo(2);
  }
}
