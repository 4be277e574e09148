package org.alderyard.common.view;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.ServerId;

/** The control state at one version, as a host acts on it. */
public final class View {
  /** The view before the first ticket. */
  public static final View EMPTY =
      new View(ViewVersion.NONE, Map.of(), Map.of(), Map.of(), Map.of(), List.of());

  private final ViewVersion version;
  private final SortedMap<PoolName, PoolState> pools;
  private final SortedMap<GroupId, GroupState> groups;
  private final SortedMap<ServerId, ServerState> servers;
  private final SortedMap<HostId, HostState> hosts;
  private final List<SigningKey> keys;
  private final Map<GroupId, List<ServerState>> serversByGroup;

  /** Copies the state; {@code keys} holds the signing key first. */
  public View(
      ViewVersion version,
      Map<PoolName, PoolState> pools,
      Map<GroupId, GroupState> groups,
      Map<ServerId, ServerState> servers,
      Map<HostId, HostState> hosts,
      List<SigningKey> keys) {
    this.version = version;
    this.pools = Collections.unmodifiableSortedMap(new TreeMap<>(pools));
    this.groups = Collections.unmodifiableSortedMap(new TreeMap<>(groups));
    this.servers = Collections.unmodifiableSortedMap(new TreeMap<>(servers));
    this.hosts = Collections.unmodifiableSortedMap(new TreeMap<>(hosts));
    this.keys = List.copyOf(keys);
    this.serversByGroup = indexByGroup(this.servers);
  }

  private static Map<GroupId, List<ServerState>> indexByGroup(Map<ServerId, ServerState> servers) {
    Map<GroupId, List<ServerState>> index = new HashMap<>();
    for (ServerState server : servers.values()) {
      index.computeIfAbsent(server.group(), group -> new ArrayList<>()).add(server);
    }
    index.replaceAll((group, list) -> List.copyOf(list));
    return index;
  }

  /** Returns the version. */
  public ViewVersion version() {
    return version;
  }

  /** Returns the pools by name. */
  public SortedMap<PoolName, PoolState> pools() {
    return pools;
  }

  /** Returns the groups by name. */
  public SortedMap<GroupId, GroupState> groups() {
    return groups;
  }

  /** Returns the backend servers by name. */
  public SortedMap<ServerId, ServerState> servers() {
    return servers;
  }

  /** Returns the hosts of the system by name. */
  public SortedMap<HostId, HostState> hosts() {
    return hosts;
  }

  /** Returns the keys of session tokens, the signing one first. */
  public List<SigningKey> keys() {
    return keys;
  }

  /** Returns the pool of this name. */
  public Optional<PoolState> pool(PoolName name) {
    return Optional.ofNullable(pools.get(name));
  }

  /** Returns the group of this name. */
  public Optional<GroupState> group(GroupId id) {
    return Optional.ofNullable(groups.get(id));
  }

  /** Returns the server of this name. */
  public Optional<ServerState> server(ServerId id) {
    return Optional.ofNullable(servers.get(id));
  }

  /** Returns the servers of a group, in the order of their names. */
  public List<ServerState> serversOf(GroupId group) {
    return serversByGroup.getOrDefault(group, List.of());
  }
}
