package org.alderyard.proxy.write;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.Position;
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
import org.alderyard.proxy.view.ViewHolder;

/** A group of the servers a, b and c, and the views that a test publishes of it. */
public final class TestGroup {
  /** The only group. */
  public static final GroupId GROUP = new GroupId("g");

  /** The first server of the group. */
  public static final ServerId A = new ServerId("a");

  static final ServerId B = new ServerId("b");
  static final ServerId C = new ServerId("c");
  private static final List<ServerId> SERVERS = List.of(A, B, C);

  /** The views that the proxy under test uses. */
  public final ViewHolder views = new ViewHolder();

  private long version;

  /** Publishes a view of the group with a term and a primary. */
  public void publish(long term, Optional<ServerId> primary) {
    publish(term, primary, ServerStatus.ACTIVE);
  }

  void publish(long term, Optional<ServerId> primary, ServerStatus primaryStatus) {
    Map<ServerId, ServerState> servers = new LinkedHashMap<>();
    for (ServerId id : SERVERS) {
      ServerStatus status = primary.equals(Optional.of(id)) ? primaryStatus : ServerStatus.ACTIVE;
      servers.put(id, new ServerState(id, 1, GROUP, new ZoneName("z"), address(id), status));
    }
    GroupState group = new GroupState(GROUP, term, primary, List.of(new TermStart(1, 0)), 5, 40);
    views.updateIfNewer(
        new View(
            new ViewVersion(1, ++version),
            Map.of(),
            Map.of(GROUP, group),
            servers,
            Map.of(),
            List.of()));
  }

  static InetSocketAddress address(ServerId id) {
    return new InetSocketAddress("127.0.0.1", 1_000 + SERVERS.indexOf(id));
  }

  static ServerId serverAt(InetSocketAddress address) {
    return SERVERS.get(address.getPort() - 1_000);
  }

  /** Returns a pool that contains only the group. */
  public static PoolState pool(WriteAcknowledgement acknowledgement) {
    return new PoolState(new PoolName("orders"), List.of(GROUP), acknowledgement, 1_000, 0);
  }

  /** Returns the report of a replica whose log ends at the given position. */
  static ServerReport replicaReport(ServerId id, long term, Position held, long lastTermStart) {
    return new ServerReport(
        id,
        1,
        GROUP,
        term,
        ServerRole.REPLICA,
        held,
        held,
        List.of(new TermStart(lastTermStart, 0)),
        false);
  }
}
