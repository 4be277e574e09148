package org.alderyard.proxy.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.session.ConnectRefusedException;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionConnection;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.view.ServerState;
import org.alderyard.testkit.session.ModelGroup;
import org.junit.jupiter.api.Test;

/**
 * Tests a server that is at its connection limit because it still counts the connections of failed
 * hosts.
 */
class FullServerTest {
  private static final Duration LONG = Duration.ofMinutes(5);

  private final ModelGroup group = new ModelGroup("g1", "s1");
  private final ServerState server = group.states().get(0);
  private long nowMillis = 1_000;
  private int acceptableConnections;
  private int connectAttempts;
  private final ConnectionPools<SessionConnection> pools =
      new ConnectionPools<>(
          (target, owner, timeout) -> connect(),
          target -> 2,
          () -> TimeUnit.MILLISECONDS.toNanos(nowMillis));

  private CompletableFuture<SessionConnection> connect() {
    connectAttempts++;
    if (acceptableConnections == 0) {
      return CompletableFuture.failedFuture(
          new ConnectRefusedException(RefusalCode.CONNECTION_LIMIT, "full"));
    }
    acceptableConnections--;
    return group.connect(server, ConnectionOwner.NONE, LONG);
  }

  @Test
  void queuedStatementsDoNotFloodServerAtItsConnectionLimit() {
    // After a power loss, all hosts restarted within two seconds, and the servers counted the dead
    // connections for about another second. Hundreds of statements opened connections repeatedly,
    // which caused 1,600 refusals in a second on hosts that were still warming up.
    List<CompletableFuture<SessionConnection>> requests = new ArrayList<>();
    for (int statement = 0; statement < 200; statement++) {
      nowMillis += 5;
      requests.add(pools.acquire(server, LONG));
    }

    assertThat(connectAttempts).isAtMost(10);
    for (CompletableFuture<SessionConnection> request : requests) {
      Throwable failure = request.handle((connection, error) -> error).join();
      assertThat(Futures.toAlderyardException(failure).code())
          .isEqualTo(ErrorCode.NO_ELIGIBLE_SERVER);
    }
  }

  @Test
  void connectionIsRetriedAfterTheBackoff() {
    pools.acquire(server, LONG);
    acceptableConnections = 1;
    nowMillis += 200;

    assertThat(pools.acquire(server, LONG).join().usable()).isTrue();
  }

  @Test
  void queuedStatementReceivesTheReleasedConnection() {
    // The server accepts one connection of this host. The second statement receives it after the
    // first, instead of connecting without success or failing.
    acceptableConnections = 1;
    final SessionConnection connection = pools.acquire(server, LONG).join();
    pools.acquire(server, LONG);
    CompletableFuture<SessionConnection> queued = pools.acquire(server, LONG);
    assertThat(queued.isDone()).isFalse();

    pools.release(server, connection);

    assertThat(queued.join()).isSameInstanceAs(connection);
    assertThat(connectAttempts).isEqualTo(2);
  }
}
