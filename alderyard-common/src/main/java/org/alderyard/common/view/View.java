package org.alderyard.common.view;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.ServerId;

/** An immutable snapshot of the control state at one version. */
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
  private final Optional<ConfigurationState> configuration;

  /**
   * Copies the given state.
   *
   * @param keys the keys of session tokens, the signing key first
   */
  public View(
      ViewVersion version,
      Map<PoolName, PoolState> pools,
      Map<GroupId, GroupState> groups,
      Map<ServerId, ServerState> servers,
      Map<HostId, HostState> hosts,
      List<SigningKey> keys) {
    this(
        version,
        Collections.unmodifiableSortedMap(new TreeMap<>(pools)),
        Collections.unmodifiableSortedMap(new TreeMap<>(groups)),
        Collections.unmodifiableSortedMap(new TreeMap<>(servers)),
        Collections.unmodifiableSortedMap(new TreeMap<>(hosts)),
        List.copyOf(keys),
        indexByGroup(servers.values()),
        Optional.empty());
  }

  private View(
      ViewVersion version,
      SortedMap<PoolName, PoolState> pools,
      SortedMap<GroupId, GroupState> groups,
      SortedMap<ServerId, ServerState> servers,
      SortedMap<HostId, HostState> hosts,
      List<SigningKey> keys,
      Map<GroupId, List<ServerState>> serversByGroup,
      Optional<ConfigurationState> configuration) {
    this.version = version;
    this.pools = pools;
    this.groups = groups;
    this.servers = servers;
    this.hosts = hosts;
    this.keys = keys;
    this.serversByGroup = serversByGroup;
    this.configuration = configuration;
  }

  private static Map<GroupId, List<ServerState>> indexByGroup(Collection<ServerState> servers) {
    Map<GroupId, List<ServerState>> index = new HashMap<>();
    for (ServerState server : servers) {
      index.computeIfAbsent(server.group(), group -> new ArrayList<>()).add(server);
    }
    index.replaceAll((group, list) -> sorted(list));
    return index;
  }

  private static List<ServerState> sorted(List<ServerState> servers) {
    return servers.stream().sorted(Comparator.comparing(ServerState::id)).toList();
  }

  /** Returns an editor that starts from this view. */
  public Editor edit() {
    return new Editor(this);
  }

  /**
   * Creates a view from another one. The two views share the tables that do not change.
   *
   * <p>Most changes affect one table, and with 66,000 servers copying the tables would be most of
   * the cost.
   */
  public static final class Editor {
    private final View base;
    private Map<PoolName, PoolState> pools;
    private Map<GroupId, GroupState> groups;
    private Map<ServerId, ServerState> servers;
    private Map<HostId, HostState> hosts;
    private Map<GroupId, List<ServerState>> serversByGroup;
    private List<SigningKey> keys;
    private Optional<ConfigurationState> configuration;

    private Editor(View base) {
      this.base = base;
      pools = base.pools;
      groups = base.groups;
      servers = base.servers;
      hosts = base.hosts;
      serversByGroup = base.serversByGroup;
      keys = base.keys;
      configuration = base.configuration;
    }

    /** Returns a modifiable map of the pools. */
    public Map<PoolName, PoolState> pools() {
      pools = pools == base.pools ? new TreeMap<>(base.pools) : pools;
      return pools;
    }

    /** Returns a modifiable map of the groups. */
    public Map<GroupId, GroupState> groups() {
      groups = groups == base.groups ? new TreeMap<>(base.groups) : groups;
      return groups;
    }

    /** Returns a modifiable map of the hosts. */
    public Map<HostId, HostState> hosts() {
      hosts = hosts == base.hosts ? new TreeMap<>(base.hosts) : hosts;
      return hosts;
    }

    /** Adds or replaces a server. */
    public void put(ServerState server) {
      remove(server.id());
      servers.put(server.id(), server);
      serversByGroup.merge(
          server.group(),
          List.of(server),
          (existing, added) -> sorted(Stream.concat(existing.stream(), added.stream()).toList()));
    }

    /** Removes a server, if it exists. */
    public void remove(ServerId id) {
      if (servers == base.servers) {
        servers = new TreeMap<>(base.servers);
        serversByGroup = new HashMap<>(base.serversByGroup);
      }
      ServerState removed = servers.remove(id);
      if (removed == null) {
        return;
      }
      List<ServerState> remaining =
          serversByGroup.get(removed.group()).stream().filter(s -> !s.id().equals(id)).toList();
      if (remaining.isEmpty()) {
        serversByGroup.remove(removed.group());
      } else {
        serversByGroup.put(removed.group(), remaining);
      }
    }

    /** Replaces the keys of session tokens, the signing key first. */
    public void keys(List<SigningKey> newKeys) {
      keys = List.copyOf(newKeys);
    }

    /** Replaces the configuration of sessions. */
    public void configuration(ConfigurationState newConfiguration) {
      configuration = Optional.of(newConfiguration);
    }

    /** Returns the edited view. The editor must not be used afterwards. */
    public View at(ViewVersion version) {
      return new View(
          version,
          unmodifiable(pools, base.pools),
          unmodifiable(groups, base.groups),
          unmodifiable(servers, base.servers),
          unmodifiable(hosts, base.hosts),
          keys,
          serversByGroup,
          configuration);
    }

    private static <K, V> SortedMap<K, V> unmodifiable(Map<K, V> edited, SortedMap<K, V> original) {
      return edited == original
          ? original
          : Collections.unmodifiableSortedMap((SortedMap<K, V>) edited);
    }
  }

  /** Returns the version of the control state. */
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

  /** Returns the keys of session tokens, the signing key first. */
  public List<SigningKey> keys() {
    return keys;
  }

  /** Returns the configuration of sessions; empty before the first one is committed. */
  public Optional<ConfigurationState> configuration() {
    return configuration;
  }

  /** Returns the pool with this name. */
  public Optional<PoolState> pool(PoolName name) {
    return Optional.ofNullable(pools.get(name));
  }

  /** Returns the group with this name. */
  public Optional<GroupState> group(GroupId id) {
    return Optional.ofNullable(groups.get(id));
  }

  /** Returns the server with this name. */
  public Optional<ServerState> server(ServerId id) {
    return Optional.ofNullable(servers.get(id));
  }

  /** Returns the servers of a group, sorted by name; empty if it has none. */
  public List<ServerState> serversOf(GroupId group) {
    return serversByGroup.getOrDefault(group, List.of());
  }
}
