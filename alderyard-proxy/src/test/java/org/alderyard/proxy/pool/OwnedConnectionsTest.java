package org.alderyard.proxy.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.PooledConnection;
import org.alderyard.common.view.ServerState;
import org.alderyard.testkit.session.ModelGroup;
import org.junit.jupiter.api.Test;

/** Load: many organisations share the few connections that a host may open to a server. */
class OwnedConnectionsTest {
  private static final Duration LONG = Duration.ofMinutes(10);
  private static final int ALLOWED = 2;

  private final ServerState server = new ModelGroup("g1", "s1").server("s1").state();
  private final List<TestConnection> opened = new ArrayList<>();
  private long nowMillis = 1_000;
  private final ConnectionPools<TestConnection> pools =
      new ConnectionPools<>(
          (target, owner, timeout) -> {
            TestConnection connection = new TestConnection(owner);
            opened.add(connection);
            return CompletableFuture.completedFuture(connection);
          },
          target -> ALLOWED,
          () -> TimeUnit.MILLISECONDS.toNanos(nowMillis));

  private static final class TestConnection implements PooledConnection {
    private final ConnectionOwner owner;
    private boolean closed;

    TestConnection(ConnectionOwner owner) {
      this.owner = owner;
    }

    @Override
    public ConnectionOwner owner() {
      return owner;
    }

    @Override
    public boolean usable() {
      return !closed;
    }

    @Override
    public void close() {
      closed = true;
    }
  }

  private static ConnectionOwner owner(int number) {
    return new ConnectionOwner("o" + number);
  }

  private CompletableFuture<TestConnection> acquire(int owner) {
    return pools.acquire(server, owner(owner), 1, LONG);
  }

  private long openCount() {
    return opened.stream().filter(TestConnection::usable).count();
  }

  /** A connection that is handed to another organisation runs its statements in the wrong name. */
  @Test
  void randomLoadNeverGetsConnectionOfAnotherOwnerNorMoreThanAllowed() {
    Random random = new Random(7);
    Map<Integer, List<CompletableFuture<TestConnection>>> pending = new HashMap<>();
    List<TestConnection> inUse = new ArrayList<>();
    for (int step = 0; step < 20_000; step++) {
      nowMillis += random.nextInt(8);
      if (random.nextBoolean()) {
        int number = random.nextInt(9);
        pending.computeIfAbsent(number, key -> new ArrayList<>()).add(acquire(number));
      } else if (!inUse.isEmpty()) {
        pools.release(server, inUse.remove(random.nextInt(inUse.size())));
      }
      pending.forEach(
          (number, requests) ->
              requests.removeIf(
                  request -> {
                    if (!request.isDone()) {
                      return false;
                    }
                    assertThat(request.join().owner()).isEqualTo(owner(number));
                    assertThat(request.join().usable()).isTrue();
                    inUse.add(request.join());
                    return true;
                  }));
      assertThat(inUse).containsNoDuplicates();
      assertThat(openCount()).isAtMost(ALLOWED);
    }
    assertThat(pools.replacedConnections()).isGreaterThan(0);
  }

  @Test
  void leastRecentlyUsedIdleConnectionIsReplaced() {
    TestConnection first = acquire(1).join();
    TestConnection second = acquire(2).join();
    pools.release(server, first);
    pools.release(server, second);

    assertThat(acquire(3).join().owner()).isEqualTo(owner(3));

    assertThat(first.usable()).isFalse();
    assertThat(second.usable()).isTrue();
  }

  /** An organisation with a long queue must not make the others wait for all of it. */
  @Test
  void ownersTakeTurns() {
    List<TestConnection> inUse = new ArrayList<>(List.of(acquire(1).join(), acquire(1).join()));
    List<CompletableFuture<TestConnection>> large = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      large.add(acquire(1));
    }
    CompletableFuture<TestConnection> small = acquire(2);

    int served = 0;
    while (!small.isDone()) {
      nowMillis += 20;
      pools.release(server, inUse.remove(0));
      large.stream()
          .filter(request -> request.isDone() && !inUse.contains(request.join()))
          .forEach(request -> inUse.add(request.join()));
      large.removeIf(CompletableFuture::isDone);
      served++;
    }

    assertThat(served).isAtMost(5);
  }

  /** Each reopened connection costs the server some milliseconds: nearby requests share one. */
  @Test
  void releasedConnectionServesItsOwnerFirstForShortTime() {
    TestConnection first = acquire(1).join();
    final TestConnection second = acquire(1).join();
    final CompletableFuture<TestConnection> other = acquire(2);
    final CompletableFuture<TestConnection> same = acquire(1);

    nowMillis += 10;
    pools.release(server, first);
    assertThat(same.join()).isSameInstanceAs(first);
    assertThat(other.isDone()).isFalse();

    nowMillis += 100;
    pools.release(server, second);
    assertThat(other.join().owner()).isEqualTo(owner(2));
  }
}
