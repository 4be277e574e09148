package org.alderyard.protocol.view;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.DatabaseState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.SessionReads;
import org.alderyard.common.view.SigningKey;
import org.alderyard.common.view.TermStart;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.common.view.WriteAcknowledgement;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.alderyard.protocol.generated.state.Endpoint;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.GroupLimits;
import org.alderyard.protocol.generated.state.Host;
import org.alderyard.protocol.generated.state.Key;
import org.alderyard.protocol.generated.state.KeyRing;
import org.alderyard.protocol.generated.state.LogPosition;
import org.alderyard.protocol.generated.state.Pool;
import org.alderyard.protocol.generated.state.Server;
import org.alderyard.protocol.generated.state.Status;
import org.alderyard.protocol.generated.state.TermBegin;
import org.alderyard.protocol.generated.state.Version;

/** Converts each kind of control state object between its protobuf message and its domain type. */
public final class StateCodec {
  private static final int MAX_PORT = 65_535;

  private StateCodec() {}

  /** Converts a view version to its message. */
  public static Version versionMessage(ViewVersion version) {
    return Version.newBuilder().setEpoch(version.epoch()).setVersion(version.version()).build();
  }

  /** Converts a message to a view version. */
  public static ViewVersion version(Version version) {
    return new ViewVersion(version.getEpoch(), version.getVersion());
  }

  /** Converts a pool to its message. */
  public static Pool poolMessage(PoolState pool) {
    return Pool.newBuilder()
        .setName(pool.name().value())
        .addAllGroups(pool.groups().stream().map(GroupId::value).toList())
        .setPrimaryOnlyAcknowledgement(
            pool.writeAcknowledgement() == WriteAcknowledgement.PRIMARY_ONLY)
        .setMaxStalenessMillis(pool.maxStalenessMillis())
        .setMaxConcurrentStatements(pool.maxConcurrentStatements())
        .build();
  }

  /** Converts a message to a pool. */
  public static PoolState pool(Pool pool) {
    return new PoolState(
        new PoolName(pool.getName()),
        pool.getGroupsList().stream().map(GroupId::new).toList(),
        pool.getPrimaryOnlyAcknowledgement()
            ? WriteAcknowledgement.PRIMARY_ONLY
            : WriteAcknowledgement.MAJORITY,
        pool.getMaxStalenessMillis(),
        pool.getMaxConcurrentStatements());
  }

  /** Converts a group to its message. */
  public static Group groupMessage(GroupState group) {
    return Group.newBuilder()
        .setId(group.id().value())
        .setTerm(group.term())
        .setPrimary(group.primary().map(ServerId::value).orElse(""))
        .addAllTermHistory(group.termHistory().stream().map(StateCodec::termMessage).toList())
        .setSlotsPerServer(group.slotsPerServer())
        .setConnectionsPerServer(group.connectionsPerServer())
        .build();
  }

  private static TermBegin termMessage(TermStart start) {
    return TermBegin.newBuilder()
        .setTerm(start.term())
        .setStartIndex(start.startIndex())
        .setPreviousTerm(start.previousTerm())
        .build();
  }

  /** Converts a message to a group. */
  public static GroupState group(Group group) {
    Optional<ServerId> primary =
        group.getPrimary().isEmpty()
            ? Optional.empty()
            : Optional.of(new ServerId(group.getPrimary()));
    return new GroupState(
        new GroupId(group.getId()),
        group.getTerm(),
        primary,
        group.getTermHistoryList().stream()
            .map(
                start ->
                    new TermStart(start.getTerm(), start.getStartIndex(), start.getPreviousTerm()))
            .toList(),
        group.getSlotsPerServer(),
        group.getConnectionsPerServer());
  }

  /** Converts a server to its message. */
  public static Server serverMessage(ServerState server) {
    return Server.newBuilder()
        .setId(server.id().value())
        .setIncarnation(server.incarnation())
        .setGroup(server.group().value())
        .setZone(server.zone().value())
        .setAddress(endpointMessage(server.address()))
        .setStatus(Status.forNumber(server.status().ordinal()))
        .build();
  }

  /** Converts a message to a server. */
  public static ServerState server(Server server) {
    return new ServerState(
        new ServerId(server.getId()),
        server.getIncarnation(),
        new GroupId(server.getGroup()),
        new ZoneName(server.getZone()),
        address(server.getAddress()),
        status(server.getStatus()));
  }

  /**
   * Converts a status. An unknown status from a newer peer becomes {@code EXPIRED}, so that the
   * server receives no new work.
   */
  private static ServerStatus status(Status status) {
    return switch (status) {
      case ACTIVE -> ServerStatus.ACTIVE;
      case LEAVING -> ServerStatus.LEAVING;
      case GONE -> ServerStatus.GONE;
      default -> ServerStatus.EXPIRED;
    };
  }

  /** Converts a host to its message. */
  public static Host hostMessage(HostState host) {
    return Host.newBuilder()
        .setId(host.id().value())
        .setIncarnation(host.incarnation())
        .setZone(host.zone().value())
        .setInnerAddress(endpointMessage(host.innerAddress()))
        .setCallerAddress(endpointMessage(host.callerAddress()))
        .setProxy(host.proxy())
        .setControl(host.control())
        .setDraining(host.draining())
        .build();
  }

  /** Converts a message to a host. */
  public static HostState host(Host host) {
    return new HostState(
        new HostId(host.getId()),
        host.getIncarnation(),
        new ZoneName(host.getZone()),
        address(host.getInnerAddress()),
        address(host.getCallerAddress()),
        host.getProxy(),
        host.getControl(),
        host.getDraining());
  }

  /** Converts the keys of session tokens to their message. */
  public static KeyRing keyRingMessage(List<SigningKey> keys) {
    KeyRing.Builder keyRing = KeyRing.newBuilder();
    for (SigningKey key : keys) {
      keyRing.addKeys(
          Key.newBuilder().setId(key.id()).setSecret(ByteString.copyFrom(key.secret())));
    }
    return keyRing.build();
  }

  /** Converts a message to the keys of session tokens. */
  public static List<SigningKey> keys(KeyRing keyRing) {
    return keyRing.getKeysList().stream()
        .map(key -> new SigningKey(key.getId(), key.getSecret().toByteArray()))
        .toList();
  }

  /** Converts the configuration of sessions to its message. */
  public static Configuration configurationMessage(ConfigurationState configuration) {
    Configuration.Builder message =
        Configuration.newBuilder()
            .setNumber(configuration.number())
            .setTransactionIdleMillis(configuration.transactionIdleMillis())
            .setSessionIdleMillis(configuration.sessionIdleMillis())
            .setSource(ByteString.copyFrom(configuration.source().toArray()))
            .setSourceSealed(configuration.sourceSealed())
            .setContentHash(ByteString.copyFrom(configuration.contentHash().toArray()));
    OrganisationCodec.encode(configuration.organisations(), message);
    configuration.databases().forEach(database -> message.addDatabases(databaseMessage(database)));
    configuration
        .connectionsPerServer()
        .forEach(
            (group, connections) ->
                message.addGroups(
                    GroupLimits.newBuilder()
                        .setId(group.value())
                        .setConnectionsPerServer(connections)
                        .setSyncReplicas(configuration.syncReplicasOf(group))));
    return message.build();
  }

  /** Converts a database to its message. */
  public static Database databaseMessage(DatabaseState database) {
    return Database.newBuilder()
        .setName(database.name())
        .setScope(database.scope())
        .setGroup(database.group().value())
        .setReads(
            org.alderyard.protocol.generated.state.SessionReads.forNumber(
                database.reads().ordinal()))
        .setStatementTimeoutMillis(database.statementTimeoutMillis())
        .setLatencyObjectiveMillis(database.latencyObjectiveMillis())
        .setPriority(database.priority())
        .setMaxStalenessMillis(database.maxStalenessMillis())
        .setPublicAccess(database.publicAccess())
        .build();
  }

  /** Converts a message to the configuration of sessions. */
  public static ConfigurationState configuration(Configuration message) {
    SortedMap<GroupId, Integer> connections = new TreeMap<>();
    SortedMap<GroupId, Integer> syncReplicas = new TreeMap<>();
    for (GroupLimits group : message.getGroupsList()) {
      GroupId id = new GroupId(group.getId());
      connections.put(id, group.getConnectionsPerServer());
      if (group.getSyncReplicas() > 0) {
        syncReplicas.put(id, group.getSyncReplicas());
      }
    }
    return new ConfigurationState(
        message.getNumber(),
        message.getDatabasesList().stream().map(StateCodec::database).toList(),
        connections,
        syncReplicas,
        message.getTransactionIdleMillis(),
        message.getSessionIdleMillis(),
        OrganisationCodec.decode(message),
        Bytes.of(message.getSource().toByteArray()),
        message.getSourceSealed(),
        Bytes.of(message.getContentHash().toByteArray()));
  }

  /** Converts a message to a database. */
  public static DatabaseState database(Database database) {
    return new DatabaseState(
        database.getName(),
        database.getScope(),
        new GroupId(database.getGroup()),
        switch (database.getReads()) {
          case BOUNDED -> SessionReads.BOUNDED;
          case OWN_WRITES -> SessionReads.OWN_WRITES;
          // An unknown value from a newer peer becomes the strictest consistency.
          default -> SessionReads.NEWEST;
        },
        database.getStatementTimeoutMillis(),
        database.getLatencyObjectiveMillis(),
        database.getPriority(),
        database.getMaxStalenessMillis(),
        database.getPublicAccess());
  }

  /** Converts a log position to its message. */
  public static LogPosition positionMessage(Position position) {
    return LogPosition.newBuilder().setTerm(position.term()).setIndex(position.index()).build();
  }

  /** Converts a message to a log position. */
  public static Position position(LogPosition position) {
    return new Position(position.getTerm(), position.getIndex());
  }

  /** Converts an address to its message. The host string is used as it is; DNS is not queried. */
  public static Endpoint endpointMessage(InetSocketAddress address) {
    return Endpoint.newBuilder()
        .setAddress(address.getHostString())
        .setPort(address.getPort())
        .build();
  }

  /**
   * Converts a message to an address.
   *
   * @throws AlderyardException with {@code BAD_REQUEST} if the port is out of range
   */
  public static InetSocketAddress address(Endpoint endpoint) {
    if (endpoint.getPort() < 0 || endpoint.getPort() > MAX_PORT) {
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST,
          "port is " + Integer.toUnsignedString(endpoint.getPort()) + "; accepted is 0 to 65535");
    }
    return new InetSocketAddress(endpoint.getAddress(), endpoint.getPort());
  }
}
