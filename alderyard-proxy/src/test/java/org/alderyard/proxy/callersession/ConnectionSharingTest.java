package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.PooledConnection;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.pool.ConnectionPools;
import org.alderyard.proxy.pool.ConnectionSharing;
import org.alderyard.proxy.pool.OwnerWeights;
import org.alderyard.testkit.session.ModelGroup;
import org.junit.jupiter.api.Test;

/**
 * Compares ways to share connections, one statement at a time.
 *
 * <p>Load: 72 organisations, the one of rank n with a demand in proportion to 1/n, use 18 servers
 * in 6 groups, which accept 58 connections each; half of them are left free for hosts that return.
 */
class ConnectionSharingTest {
  private static final int ORGANISATIONS = 72;
  private static final int GROUPS = 6;
  private static final int SERVERS_PER_GROUP = 3;
  private static final int CONNECTIONS = 58;
  private static final int ZONES = 3;
  private static final int STATEMENTS = 60_000;
  private static final double STATEMENTS_PER_SECOND = 753;

  /** Statements of all groups before each group, as a fraction; the last groups serve lookups. */
  private static final double[] GROUP_STARTS = {0, 0.067, 0.134, 0.2515, 0.369, 0.6845};

  private final HolderAffinity affinity = new HolderAffinity();
  private final List<ServerState> servers = new ArrayList<>();
  private long nowNanos = 1;

  /** A host's connections, which count the openings. */
  private final class Host {
    final HostState state;
    final ConnectionPools<Connection> pools;
    int opened;

    Host(HostState state, int connectionsPerServer, ConnectionSharing sharing) {
      this.state = state;
      pools =
          new ConnectionPools<>(
              (server, owner, timeout) -> {
                opened++;
                return CompletableFuture.completedFuture(new Connection(owner));
              },
              server -> connectionsPerServer,
              () -> nowNanos,
              sharing,
              OwnerWeights.EQUAL);
    }
  }

  private record Connection(ConnectionOwner owner) implements PooledConnection {
    @Override
    public boolean usable() {
      return true;
    }

    @Override
    public void close() {}
  }

  /**
   * How often something happens for one statement.
   *
   * @param openings connections that are opened
   * @param hops statements that are forwarded to another host
   */
  private record Cost(double openings, double hops) {}

  /**
   * Returns the cost of a way.
   *
   * @param meetingHosts hosts of each availability zone at which the statements of a group meet; 0
   *     if each host uses connections of its own
   */
  private Cost cost(int hostCount, int meetingHosts, ConnectionSharing sharing) {
    int holding = meetingHosts == 0 ? hostCount : meetingHosts * ZONES;
    int connections =
        meetingHosts == 0
            ? Math.max(1, CONNECTIONS / hostCount)
            : Math.max(1, CONNECTIONS / 2 / holding);
    Map<HostId, Host> hosts = new HashMap<>();
    List<HostState> states = new ArrayList<>();
    for (int number = 0; number < hostCount; number++) {
      HostState state = host(number);
      states.add(state);
      hosts.put(state.id(), new Host(state, connections, sharing));
    }
    Random random = new Random(11);
    int hops = 0;
    for (int statement = 0; statement < STATEMENTS; statement++) {
      nowNanos += (long) (TimeUnit.SECONDS.toNanos(1) / STATEMENTS_PER_SECOND);
      int rank = (int) Math.pow(ORGANISATIONS + 1.0, random.nextDouble()) - 1;
      ConnectionOwner owner = new ConnectionOwner("o" + rank);
      int group = group(random.nextDouble());
      HostState entry = states.get(random.nextInt(hostCount));
      HostState runs =
          meetingHosts == 0 ? entry : meeting(states, entry, group, owner, meetingHosts);
      hops += runs.equals(entry) ? 0 : 1;
      // The first two groups read at their primaries.
      int server = group < 2 ? 0 : random.nextInt(SERVERS_PER_GROUP);
      run(hosts.get(runs.id()), servers.get(group * SERVERS_PER_GROUP + server), owner);
    }
    int opened = hosts.values().stream().mapToInt(host -> host.opened).sum();
    return new Cost((double) opened / STATEMENTS, (double) hops / STATEMENTS);
  }

  private static HostState host(int number) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7_000);
    ZoneName zone = new ZoneName("z" + number % ZONES);
    return new HostState(new HostId("h" + number), 1, zone, address, address, true, false, false);
  }

  private static int group(double position) {
    int group = GROUPS - 1;
    while (GROUP_STARTS[group] > position) {
      group--;
    }
    return group;
  }

  /** Returns the host at which an organisation meets; a meeting host runs its own statements. */
  private HostState meeting(
      List<HostState> all, HostState entry, int group, ConnectionOwner owner, int meetingHosts) {
    List<HostState> inZone = all.stream().filter(host -> host.zone().equals(entry.zone())).toList();
    List<HostState> holders = new ArrayList<>();
    for (int i = 0; i < meetingHosts; i++) {
      holders.add(inZone.get((group * meetingHosts + i) % inZone.size()));
    }
    return holders.contains(entry)
        ? entry
        : affinity.preferred(new GroupId("g" + group), owner, holders).orElseThrow();
  }

  private static void run(Host host, ServerState server, ConnectionOwner owner) {
    Connection connection =
        host.pools.acquire(server, owner, 1, Duration.ofSeconds(1)).getNow(null);
    assertThat(Optional.ofNullable(connection).map(Connection::owner))
        .isEqualTo(Optional.of(owner));
    host.pools.release(server, connection);
  }

  private ConnectionSharingTest() {
    for (int group = 0; group < GROUPS; group++) {
      for (int server = 0; server < SERVERS_PER_GROUP; server++) {
        String name = "s" + group + "-" + server;
        servers.add(new ModelGroup("g" + group, name).server(name).state());
      }
    }
  }

  /**
   * Openings take 12 ms of a slot; the owner that is expected back last must lose its connection.
   */
  @Test
  void weightedReplacementOpensFewerConnectionsAtSameHolders() {
    Cost recency = cost(65, 3, ConnectionSharing.RECENCY);
    Cost weighted = cost(65, 3, ConnectionSharing.WEIGHTED);

    assertThat(weighted.openings()).isAtMost(0.86 * recency.openings());
    assertThat(weighted.hops()).isEqualTo(recency.hops());
  }

  /**
   * Two connections at each of 21 hosts serve 72 organisations with an opening for most statements.
   */
  @Test
  void meetingAtHoldersOpensFewerConnectionsThanConnectionsOfEachHost() {
    Cost everyHost = cost(21, 0, ConnectionSharing.RECENCY);
    Cost holders = cost(21, 2, ConnectionSharing.WEIGHTED);

    assertThat(everyHost.openings()).isAtLeast(0.85);
    assertThat(holders.openings()).isAtMost(0.7 * everyHost.openings());
    assertThat(holders.hops()).isAtMost(0.75);
  }
}
