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
  private final Optional<ConfigurationState> configuration;

  /** Copies the state; {@code keys} holds the signing key first. */
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
   * Makes a view from another one; tables that do not change are shared between the two.
   *
   * <p>Most changes touch one table, and at 66,000 servers the copies would be most of the cost.
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

    /** Returns the pools, to be changed. */
    public Map<PoolName, PoolState> pools() {
      pools = pools == base.pools ? new TreeMap<>(base.pools) : pools;
      return pools;
    }

    /** Returns the groups, to be changed. */
    public Map<GroupId, GroupState> groups() {
      groups = groups == base.groups ? new TreeMap<>(base.groups) : groups;
      return groups;
    }

    /** Returns the hosts, to be changed. */
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
          (known, added) -> sorted(Stream.concat(known.stream(), added.stream()).toList()));
    }

    /** Removes a server. */
    public void remove(ServerId id) {
      if (servers == base.servers) {
        servers = new TreeMap<>(base.servers);
        serversByGroup = new HashMap<>(base.serversByGroup);
      }
      ServerState known = servers.remove(id);
      if (known == null) {
        return;
      }
      List<ServerState> rest =
          serversByGroup.get(known.group()).stream().filter(s -> !s.id().equals(id)).toList();
      if (rest.isEmpty()) {
        serversByGroup.remove(known.group());
      } else {
        serversByGroup.put(known.group(), rest);
      }
    }

    /** Replaces the keys of session tokens, the signing one first. */
    public void keys(List<SigningKey> replaced) {
      keys = List.copyOf(replaced);
    }

    /** Replaces the configuration of sessions. */
    public void configuration(ConfigurationState replaced) {
      configuration = Optional.of(replaced);
    }

    /** Returns the view; the editor is not used again. */
    public View at(ViewVersion version) {
      return new View(
          version,
          frozen(pools, base.pools),
          frozen(groups, base.groups),
          frozen(servers, base.servers),
          frozen(hosts, base.hosts),
          keys,
          serversByGroup,
          configuration);
    }

    private static <K, V> SortedMap<K, V> frozen(Map<K, V> edited, SortedMap<K, V> before) {
      return edited == before
          ? before
          : Collections.unmodifiableSortedMap((SortedMap<K, V>) edited);
    }
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

  /** Returns the configuration of sessions, once there is one. */
  public Optional<ConfigurationState> configuration() {
    return configuration;
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
