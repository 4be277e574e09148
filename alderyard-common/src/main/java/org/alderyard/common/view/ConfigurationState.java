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
 * The configuration of sessions: operators replace it as a whole, and the highest number counts.
 *
 * @param number its number
 * @param databases the databases, in the operator's order
 * @param connectionsPerServer the connections that each server of a group accepts
 * @param transactionIdleMillis after which an idle transaction may be ended
 * @param sessionIdleMillis after which an idle session may be closed
 * @param source what the operator sent
 * @param contentHash equal for sources of the same meaning
 */
public record ConfigurationState(
    long number,
    List<DatabaseState> databases,
    SortedMap<GroupId, Integer> connectionsPerServer,
    int transactionIdleMillis,
    int sessionIdleMillis,
    Bytes source,
    Bytes contentHash) {

  /**
   * Copies. The groups are in order: what all control hosts derive from them must be the same, and
   * the order of an unsorted map differs from process to process.
   */
  public ConfigurationState {
    databases = List.copyOf(databases);
    connectionsPerServer = Collections.unmodifiableSortedMap(new TreeMap<>(connectionsPerServer));
  }

  /** Returns the first database of each name. */
  public Map<String, DatabaseState> byName() {
    Map<String, DatabaseState> index = new HashMap<>();
    databases.forEach(database -> index.putIfAbsent(database.name(), database));
    return index;
  }

  /** Returns the database that sessions of this name use. */
  public Optional<DatabaseState> database(String name) {
    return databases.stream().filter(database -> database.name().equals(name)).findFirst();
  }
}
