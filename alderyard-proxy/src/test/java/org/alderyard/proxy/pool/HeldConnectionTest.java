package org.alderyard.proxy.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.backend.session.SessionConnection;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerState;
import org.alderyard.testkit.session.ModelGroup;
import org.junit.jupiter.api.Test;

/**
 * Pattern: an answer is lost on the only connection. While all is well a host has a single
 * connection to a server, so that all hosts find room on it when they return at once. The answer to
 * one statement does not come, and all others of this host wait behind it for most of a second,
 * though the server is idle.
 */
class HeldConnectionTest {
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
  void statementBehindOneThatHangsGetsAnotherConnection() throws Exception {
    ConnectionPools<SessionConnection> pools = pools(2);
    SessionConnection hangs = pools.take(server, LONG).join();

    SessionConnection other = pools.take(server, LONG).get(20, TimeUnit.SECONDS);

    assertThat(other).isNotSameInstanceAs(hangs);
  }

  @Test
  void allowanceThatBindsIsNotExceeded() throws Exception {
    ConnectionPools<SessionConnection> pools = pools(0);
    final SessionConnection only = pools.take(server, LONG).join();
    CompletableFuture<SessionConnection> waiting = pools.take(server, LONG);
    TimeUnit.MILLISECONDS.sleep(250);
    assertThat(waiting.isDone()).isFalse();

    pools.release(server, only);

    assertThat(waiting.join()).isSameInstanceAs(only);
  }

  /**
   * Statements of 200 ms are usual here. A bound of 100 ms took each of them for held up: hosts
   * opened and closed connections all the time, and each cost the server some of its work.
   */
  @Test
  void longUseIsNotHeldUpWhereItIsUsual() {
    AtomicLong nowMillis = new AtomicLong(1_000);
    ServerPool<SessionConnection> pool =
        new ServerPool<>(1, () -> TimeUnit.MILLISECONDS.toNanos(nowMillis.get()));
    for (int statement = 0; statement < 30; statement++) {
      SessionConnection connection = group.connect(server, LONG).join();
      pool.beginOpening();
      pool.opened(connection);
      nowMillis.addAndGet(200);
      pool.giveBack(connection);
    }
    pool.beginOpening();
    pool.opened(group.connect(server, LONG).join());

    nowMillis.addAndGet(300);
    assertThat(pool.heldUp()).isEqualTo(0);
    nowMillis.addAndGet(600);
    assertThat(pool.heldUp()).isEqualTo(1);
  }

  @Test
  void spareConnectionIsClosedWhenItIsGivenBack() throws Exception {
    ConnectionPools<SessionConnection> pools = pools(2);
    SessionConnection hangs = pools.take(server, LONG).join();
    SessionConnection spare = pools.take(server, LONG).get(20, TimeUnit.SECONDS);

    pools.release(server, spare);

    assertThat(spare.usable()).isFalse();
    assertThat(hangs.usable()).isTrue();
  }
}
