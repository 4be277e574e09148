package org.alderyard.proxy.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.session.SessionConnection;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerState;
import org.alderyard.testkit.session.ModelGroup;
import org.junit.jupiter.api.Test;

/**
 * Guards against a lost answer on the only connection. In steady state a host has a single
 * connection to a server, which leaves capacity for all hosts when they restart at the same time.
 * If the answer to a statement is lost, the other statements of the host would wait for most of a
 * second although the server is idle.
 */
class BlockedConnectionTest {
  private static final Duration LONG = Duration.ofMinutes(5);

  private final ModelGroup group = new ModelGroup("g1", "s1");
  private final ServerState server = group.states().get(0);

  private ConnectionPools<SessionConnection> pools(int spare) {
    ConnectionAllowance allowance =
        new ConnectionAllowance() {
          @Override
          public int allowed(ServerId id) {
            return 1;
          }

          @Override
          public int spare(ServerId id) {
            return spare;
          }
        };
    return new ConnectionPools<>(group::connect, allowance, MonotonicClock.system());
  }

  @Test
  void statementBehindBlockedConnectionGetsAnotherConnection() throws Exception {
    ConnectionPools<SessionConnection> pools = pools(2);
    SessionConnection blocked = pools.acquire(server, LONG).join();

    SessionConnection other = pools.acquire(server, LONG).get(20, TimeUnit.SECONDS);

    assertThat(other).isNotSameInstanceAs(blocked);
  }

  @Test
  void allowanceWithoutSpareIsNotExceeded() throws Exception {
    ConnectionPools<SessionConnection> pools = pools(0);
    final SessionConnection connection = pools.acquire(server, LONG).join();
    CompletableFuture<SessionConnection> queued = pools.acquire(server, LONG);
    TimeUnit.MILLISECONDS.sleep(250);
    assertThat(queued.isDone()).isFalse();

    pools.release(server, connection);

    assertThat(queued.join()).isSameInstanceAs(connection);
  }

  /**
   * Statements of 200 ms are common on this server. A fixed bound of 100 ms counted each of them as
   * blocked, so hosts opened and closed connections continuously, at the cost of server capacity.
   */
  @Test
  void longUseIsNotBlockedWhereItIsUsual() {
    AtomicLong nowMillis = new AtomicLong(1_000);
    ServerPool<SessionConnection> pool =
        new ServerPool<>(1, () -> TimeUnit.MILLISECONDS.toNanos(nowMillis.get()));
    for (int statement = 0; statement < 30; statement++) {
      SessionConnection connection = group.connect(server, ConnectionOwner.NONE, LONG).join();
      pool.beginOpening(Optional.empty());
      pool.opened(connection);
      nowMillis.addAndGet(200);
      pool.release(connection);
    }
    pool.beginOpening(Optional.empty());
    pool.opened(group.connect(server, ConnectionOwner.NONE, LONG).join());

    nowMillis.addAndGet(300);
    assertThat(pool.blocked()).isEqualTo(0);
    nowMillis.addAndGet(600);
    assertThat(pool.blocked()).isEqualTo(1);
  }

  @Test
  void spareConnectionIsClosedOnRelease() throws Exception {
    ConnectionPools<SessionConnection> pools = pools(2);
    SessionConnection blocked = pools.acquire(server, LONG).join();
    SessionConnection spare = pools.acquire(server, LONG).get(20, TimeUnit.SECONDS);

    pools.release(server, spare);

    assertThat(spare.usable()).isFalse();
    assertThat(blocked.usable()).isTrue();
  }
}
