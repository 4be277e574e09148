package org.alderyard.protocol.view;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
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

/** Maps each kind of object between its message and its domain type. */
public final class StateCodec {

  private StateCodec() {}

  /** Returns the message of a version. */
  public static Version versionMessage(ViewVersion version) {
    return Version.newBuilder().setEpoch(version.epoch()).setVersion(version.version()).build();
  }

  /** Returns the version of a message. */
  public static ViewVersion version(Version version) {
    return new ViewVersion(version.getEpoch(), version.getVersion());
  }

  /** Returns the message of a pool. */
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

  /** Returns the pool of a message. */
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

  /** Returns the message of a group. */
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

  /** Returns the group of a message. */
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

  /** Returns the message of a server. */
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

  /** Returns the server of a message. */
  public static ServerState server(Server server) {
    return new ServerState(
        new ServerId(server.getId()),
        server.getIncarnation(),
        new GroupId(server.getGroup()),
        new ZoneName(server.getZone()),
        address(server.getAddress()),
        status(server.getStatus()));
  }

  /** A status that a newer peer added is read as one that gets no new work. */
  private static ServerStatus status(Status status) {
    return switch (status) {
      case ACTIVE -> ServerStatus.ACTIVE;
      case LEAVING -> ServerStatus.LEAVING;
      case GONE -> ServerStatus.GONE;
      default -> ServerStatus.EXPIRED;
    };
  }

  /** Returns the message of a host. */
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

  /** Returns the host of a message. */
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

  /** Returns the message of the token keys. */
  public static KeyRing keyRingMessage(List<SigningKey> keys) {
    KeyRing.Builder ring = KeyRing.newBuilder();
    for (SigningKey key : keys) {
      ring.addKeys(Key.newBuilder().setId(key.id()).setSecret(ByteString.copyFrom(key.secret())));
    }
    return ring.build();
  }

  /** Returns the token keys of a message. */
  public static List<SigningKey> keys(KeyRing ring) {
    return ring.getKeysList().stream()
        .map(key -> new SigningKey(key.getId(), key.getSecret().toByteArray()))
        .toList();
  }

  /** Returns the message of the configuration of sessions. */
  public static Configuration configurationMessage(ConfigurationState configuration) {
    Configuration.Builder message =
        Configuration.newBuilder()
            .setNumber(configuration.number())
            .setTransactionIdleMillis(configuration.transactionIdleMillis())
            .setSessionIdleMillis(configuration.sessionIdleMillis())
            .setSource(ByteString.copyFrom(configuration.source().toArray()))
            .setContentHash(ByteString.copyFrom(configuration.contentHash().toArray()));
    configuration.databases().forEach(database -> message.addDatabases(databaseMessage(database)));
    configuration
        .connectionsPerServer()
        .forEach(
            (group, connections) ->
                message.addGroups(
                    GroupLimits.newBuilder()
                        .setId(group.value())
                        .setConnectionsPerServer(connections)));
    return message.build();
  }

  /** Returns the message of a database. */
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
        .build();
  }

  /** Returns the configuration of sessions of a message. */
  public static ConfigurationState configuration(Configuration message) {
    SortedMap<GroupId, Integer> connections = new TreeMap<>();
    message
        .getGroupsList()
        .forEach(
            group -> connections.put(new GroupId(group.getId()), group.getConnectionsPerServer()));
    return new ConfigurationState(
        message.getNumber(),
        message.getDatabasesList().stream().map(StateCodec::database).toList(),
        connections,
        message.getTransactionIdleMillis(),
        message.getSessionIdleMillis(),
        Bytes.of(message.getSource().toByteArray()),
        Bytes.of(message.getContentHash().toByteArray()));
  }

  /** Returns the database of a message. */
  public static DatabaseState database(Database database) {
    return new DatabaseState(
        database.getName(),
        database.getScope(),
        new GroupId(database.getGroup()),
        switch (database.getReads()) {
          case BOUNDED -> SessionReads.BOUNDED;
          case OWN_WRITES -> SessionReads.OWN_WRITES;
          // What a newer peer added is read as the strictest.
          default -> SessionReads.NEWEST;
        },
        database.getStatementTimeoutMillis(),
        database.getLatencyObjectiveMillis(),
        database.getPriority(),
        database.getMaxStalenessMillis());
  }

  /** Returns the message of a position in a log. */
  public static LogPosition positionMessage(Position position) {
    return LogPosition.newBuilder().setTerm(position.term()).setIndex(position.index()).build();
  }

  /** Returns the position of a message. */
  public static Position position(LogPosition position) {
    return new Position(position.getTerm(), position.getIndex());
  }

  /** Returns the message of an address; its IP number is used, no name is looked up. */
  public static Endpoint endpointMessage(InetSocketAddress address) {
    return Endpoint.newBuilder()
        .setAddress(address.getHostString())
        .setPort(address.getPort())
        .build();
  }

  /** Returns the address of a message. */
  public static InetSocketAddress address(Endpoint endpoint) {
    return new InetSocketAddress(endpoint.getAddress(), endpoint.getPort());
  }
}
