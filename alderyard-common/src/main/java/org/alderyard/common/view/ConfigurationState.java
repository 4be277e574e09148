package org.alderyard.common.view;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.alderyard.common.id.GroupId;

/**
 * The configuration of sessions. Operators replace it as a whole, and the highest number takes
 * effect.
 *
 * @param number the number of this configuration
 * @param databases the databases, in the operator's order
 * @param connectionsPerServer the connections that each server of a group accepts
 * @param syncReplicas the number of replicas that have received a commit before it is acknowledged;
 *     contains only groups with at least one
 * @param transactionIdleMillis the time after which an idle transaction may be ended
 * @param sessionIdleMillis the time after which an idle session may be closed
 * @param organisations the organisations whose callers use the databases
 * @param source the configuration as sent by the operator
 * @param sourceSealed whether the source is encrypted under the cluster key
 * @param contentHash a hash that is equal for sources with the same meaning
 */
public record ConfigurationState(
    long number,
    List<DatabaseState> databases,
    SortedMap<GroupId, Integer> connectionsPerServer,
    SortedMap<GroupId, Integer> syncReplicas,
    int transactionIdleMillis,
    int sessionIdleMillis,
    Organisations organisations,
    Bytes source,
    boolean sourceSealed,
    Bytes contentHash) {

  /**
   * Copies the collections. The groups are sorted because all control hosts must derive the same
   * state from them, and the order of an unsorted map differs between processes.
   */
  public ConfigurationState {
    databases = List.copyOf(databases);
    connectionsPerServer = Collections.unmodifiableSortedMap(new TreeMap<>(connectionsPerServer));
    syncReplicas = Collections.unmodifiableSortedMap(new TreeMap<>(syncReplicas));
  }

  /**
   * Creates a configuration without organisations and synchronous replicas, whose source is not
   * encrypted.
   */
  public ConfigurationState(
      long number,
      List<DatabaseState> databases,
      SortedMap<GroupId, Integer> connectionsPerServer,
      int transactionIdleMillis,
      int sessionIdleMillis,
      Bytes source,
      Bytes contentHash) {
    this(
        number,
        databases,
        connectionsPerServer,
        new TreeMap<>(),
        transactionIdleMillis,
        sessionIdleMillis,
        Organisations.NONE,
        source,
        false,
        contentHash);
  }

  /** Returns the number of replicas that have received a commit before it is acknowledged. */
  public int syncReplicasOf(GroupId group) {
    return syncReplicas.getOrDefault(group, 0);
  }

  /** Returns the databases by name; of several entries with one name, the first one. */
  public Map<String, DatabaseState> byName() {
    Map<String, DatabaseState> index = new HashMap<>();
    databases.forEach(database -> index.putIfAbsent(database.name(), database));
    return index;
  }

  /** Returns the database that sessions with this database name use. */
  public Optional<DatabaseState> database(String name) {
    return databases.stream().filter(database -> database.name().equals(name)).findFirst();
  }
}
