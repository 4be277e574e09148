package org.alderyard.benchmarks.writes;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.TermStart;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.common.view.WriteAcknowledgement;
import org.alderyard.testkit.standin.StandInOptions;
import org.alderyard.testkit.standin.StandInServer;

/** In-process primary and two replicas, with the view that contains them. */
final class BenchGroup implements AutoCloseable {
  static final GroupId GROUP = new GroupId("g");
  private static final int SERVERS = 3;
  private static final int SLOTS = 5;
  private static final int MAX_QUEUED = 1_000;
  private static final int CONNECTIONS = 40;
  private static final long LEASE_MILLIS = 1_500;
  private static final ZoneName ZONE = new ZoneName("z");

  private final List<StandInServer> servers = new ArrayList<>();

  BenchGroup() {
    for (int number = 0; number < SERVERS; number++) {
      servers.add(server(number));
    }
  }

  private StandInServer server(int number) {
    Optional<InetSocketAddress> follow =
        number == 0 ? Optional.empty() : Optional.of(servers.get(0).address());
    return new StandInServer(
        new StandInOptions(
            new ServerId("s" + number),
            1,
            GROUP,
            ZONE,
            new InetSocketAddress("127.0.0.1", 0),
            Optional.empty(),
            SLOTS,
            MAX_QUEUED,
            number == 0,
            follow,
            false,
            Optional.empty(),
            List.of(),
            LEASE_MILLIS));
  }

  InetSocketAddress primary() {
    return servers.get(0).address();
  }

  View view() {
    Map<ServerId, ServerState> states = new LinkedHashMap<>();
    for (int number = 0; number < SERVERS; number++) {
      ServerId id = new ServerId("s" + number);
      InetSocketAddress address = servers.get(number).address();
      states.put(id, new ServerState(id, 1, GROUP, ZONE, address, ServerStatus.ACTIVE));
    }
    GroupState group =
        new GroupState(
            GROUP,
            1,
            Optional.of(new ServerId("s0")),
            List.of(new TermStart(1, 0)),
            SLOTS,
            CONNECTIONS);
    return new View(
        new ViewVersion(1, 1), Map.of(), Map.of(GROUP, group), states, Map.of(), List.of());
  }

  static PoolState pool(WriteAcknowledgement acknowledgement) {
    return new PoolState(new PoolName("orders"), List.of(GROUP), acknowledgement, 1_000, 0);
  }

  @Override
  public void close() {
    servers.forEach(StandInServer::close);
  }
}
