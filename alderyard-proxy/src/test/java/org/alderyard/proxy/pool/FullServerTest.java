package org.alderyard.proxy.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.session.ConnectRefusedException;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionConnection;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.view.ServerState;
import org.alderyard.testkit.session.ModelGroup;
import org.junit.jupiter.api.Test;

/** A server that still counts the connections of hosts that were lost, and takes no others. */
class FullServerTest {
  private static final Duration LONG = Duration.ofMinutes(5);

  private final ModelGroup group = new ModelGroup("g1", "s1");
  private final ServerState server = group.states().get(0);
  private long nowMillis = 1_000;
  private int room;
  private int asked;
  private final ConnectionPools<SessionConnection> pools =
      new ConnectionPools<>(
          (to, timeout) -> connect(), to -> 2, () -> TimeUnit.MILLISECONDS.toNanos(nowMillis));

  private CompletableFuture<SessionConnection> connect() {
    asked++;
    if (room == 0) {
      return CompletableFuture.failedFuture(
          new ConnectRefusedException(RefusalCode.CONNECTION_LIMIT, "full"));
    }
    room--;
    return group.connect(server, LONG);
  }

  @Test
  void statementsThatWaitDoNotStormServer() {
    // All hosts lost power and came back in two seconds; the servers counted the dead connections
    // for another one. Each of hundreds of statements asked for a connection, again and again:
    // 1,600 refusals in a second, on hosts whose code was cold.
    List<CompletableFuture<SessionConnection>> taken = new ArrayList<>();
    for (int statement = 0; statement < 200; statement++) {
      nowMillis += 5;
      taken.add(pools.take(server, LONG));
    }

    assertThat(asked).isAtMost(10);
    for (CompletableFuture<SessionConnection> none : taken) {
      Throwable failure = none.handle((connection, why) -> why).join();
      assertThat(Futures.typed(failure).code()).isEqualTo(ErrorCode.NO_ELIGIBLE_SERVER);
    }
  }

  @Test
  void serverIsAskedAgainOnceTheDeadConnectionsAreGone() {
    pools.take(server, LONG);
    room = 1;
    nowMillis += 200;

    assertThat(pools.take(server, LONG).join().usable()).isTrue();
  }

  @Test
  void statementWaitsForTheOneConnectionThatThereIs() {
    // There is room for one connection of this host: the second statement gets it after the
    // first, instead of asking the server in vain or going without.
    room = 1;
    final SessionConnection only = pools.take(server, LONG).join();
    pools.take(server, LONG);
    CompletableFuture<SessionConnection> waiting = pools.take(server, LONG);
    assertThat(waiting.isDone()).isFalse();

    pools.release(server, only);

    assertThat(waiting.join()).isSameInstanceAs(only);
    assertThat(asked).isEqualTo(2);
  }
}
