package org.alderyard.proxy.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.PooledConnection;
import org.alderyard.common.view.ServerState;
import org.alderyard.testkit.session.ModelGroup;
import org.junit.jupiter.api.Test;

/** Load: organisations of uneven size share five connections, and the largest sends far more. */
class FairShareTest {
  private static final int CONNECTIONS = 5;
  private static final int ORGANISATIONS = 24;
  private static final int LARGEST = 0;
  private static final int SMALLEST = ORGANISATIONS - 1;
  private static final int SERVICE_MILLIS = 24;
  private static final int OPENING_MILLIS = 12;

  /** The statement timeout of lookups. */
  private static final int TIMEOUT_MILLIS = 1_000;

  private static final int DURATION_MILLIS = 60_000;

  /** Nine tenths of what five connections serve with an opening for each statement. */
  private static final double USUAL_PER_SECOND =
      0.9 * CONNECTIONS * 1_000 / (SERVICE_MILLIS + OPENING_MILLIS);

  private final ServerState server = new ModelGroup("g1", "s1").server("s1").state();
  private final Map<ConnectionOwner, Integer> asked = new HashMap<>();
  private final Map<ConnectionOwner, Integer> inTime = new HashMap<>();
  private final Map<ConnectionOwner, Integer> turns = new HashMap<>();
  private final PriorityQueue<Use> uses =
      new PriorityQueue<>(Comparator.comparingLong(Use::endMillis));
  private long nowMillis = 1_000;
  private ConnectionPools<TestConnection> pools;

  private record Use(TestConnection connection, long endMillis) {}

  private static final class TestConnection implements PooledConnection {
    private final ConnectionOwner owner;
    private boolean used;

    TestConnection(ConnectionOwner owner) {
      this.owner = owner;
    }

    @Override
    public ConnectionOwner owner() {
      return owner;
    }

    @Override
    public boolean usable() {
      return true;
    }

    @Override
    public void close() {}
  }

  private static ConnectionOwner owner(int number) {
    return new ConnectionOwner("o" + number);
  }

  /** Returns the demand of each organisation per second, in proportion to 1/rank. */
  private static double[] usualDemand() {
    double[] demand = new double[ORGANISATIONS];
    double sum = 0;
    for (int i = 0; i < ORGANISATIONS; i++) {
      demand[i] = 1.0 / (i + 1);
      sum += demand[i];
    }
    for (int i = 0; i < ORGANISATIONS; i++) {
      demand[i] *= USUAL_PER_SECOND / sum;
    }
    return demand;
  }

  private void run(double[] demand, OwnerWeights weights) {
    pools =
        new ConnectionPools<>(
            (target, owner, timeout) ->
                CompletableFuture.completedFuture(new TestConnection(owner)),
            target -> CONNECTIONS,
            () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
            ConnectionSharing.WEIGHTED,
            weights);
    Random random = new Random(3);
    for (long end = nowMillis + DURATION_MILLIS; nowMillis < end; nowMillis++) {
      while (!uses.isEmpty() && uses.peek().endMillis() <= nowMillis) {
        pools.release(server, uses.poll().connection());
      }
      for (int i = 0; i < ORGANISATIONS; i++) {
        if (random.nextDouble() < demand[i] / 1_000) {
          ask(owner(i));
        }
      }
    }
  }

  private void ask(ConnectionOwner owner) {
    asked.merge(owner, 1, Integer::sum);
    long sinceMillis = nowMillis;
    pools
        .acquire(server, owner, 1, Duration.ofMinutes(10))
        .thenAccept(connection -> use(connection, nowMillis - sinceMillis > TIMEOUT_MILLIS));
  }

  private void use(TestConnection connection, boolean late) {
    int openingMillis = connection.used ? 0 : OPENING_MILLIS;
    connection.used = true;
    uses.add(new Use(connection, nowMillis + openingMillis + SERVICE_MILLIS));
    inTime.merge(connection.owner(), late ? 0 : 1, Integer::sum);
    turns.merge(connection.owner(), 1, Integer::sum);
  }

  private double shareInTime(int organisation) {
    return (double) inTime.getOrDefault(owner(organisation), 0) / asked.get(owner(organisation));
  }

  /** Guards against small organisations that wait behind five times the load of the largest. */
  @Test
  void smallestKeepsItsShareUnderFiveTimesTheLoadOfTheLargest() {
    double[] demand = usualDemand();
    demand[LARGEST] *= 5;

    run(demand, OwnerWeights.EQUAL);

    // The smallest one asks for less than an equal part, so that its fair share is all it asks for.
    assertThat(shareInTime(SMALLEST)).isAtLeast(0.9);
    assertThat(shareInTime(LARGEST)).isLessThan(0.9);
  }

  /** Guards against weights that are ignored, or that leave an organisation without turns. */
  @Test
  void turnsFollowWeightsWhereAllAskForMoreThanTheirShare() {
    double[] demand = new double[ORGANISATIONS];
    for (int i = 0; i < 3; i++) {
      demand[i] = 2 * USUAL_PER_SECOND;
    }

    run(demand, owner -> owner.equals(owner(0)) ? 1 : owner.equals(owner(1)) ? 0.5 : 0.25);

    double first = turns.get(owner(0));
    assertThat(turns.get(owner(1)) / first).isWithin(0.1).of(0.5);
    assertThat(turns.get(owner(2)) / first).isWithin(0.1).of(0.25);
  }
}
