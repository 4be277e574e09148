package org.alderyard.control.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.FieldFault;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.SigningKey;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.Key;
import org.alderyard.protocol.generated.state.KeyRing;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Pool;

/** Validates the objects of a ticket against the state that they would change. */
public final class TicketValidator {
  /** Maximum number of objects in a ticket. */
  public static final int MAX_OBJECTS = 10_000;

  private static final long MAX_STALENESS_MILLIS = 24L * 60 * 60 * 1000;
  private static final int MAX_STATEMENTS = 1_000_000;
  private static final int MAX_SLOTS = 10_000;
  private static final int MAX_CONNECTIONS = 100_000;
  private static final String NAME_FORMAT = "1 to 128 characters of [A-Za-z0-9._:-]";

  private final View view;
  private final Predicate<String> isKnownHost;
  private final List<ObjectState> objects;
  private final Set<String> changedNames;
  private final Set<String> ticketGroups;
  private final List<FieldFault> faults = new ArrayList<>();

  private TicketValidator(View view, Predicate<String> isKnownHost, List<ObjectState> objects) {
    this.view = view;
    this.isKnownHost = isKnownHost;
    this.objects = objects;
    changedNames = objects.stream().map(TicketObjects::name).collect(Collectors.toSet());
    ticketGroups =
        objects.stream()
            .filter(ObjectState::hasGroup)
            .map(object -> object.getGroup().getId())
            .collect(Collectors.toSet());
  }

  /**
   * Returns all faults of the objects; empty when they are valid.
   *
   * @param isKnownHost whether a host id is known
   */
  public static List<FieldFault> check(
      View view, Predicate<String> isKnownHost, List<ObjectState> objects) {
    return new TicketValidator(view, isKnownHost, objects).validate();
  }

  private List<FieldFault> validate() {
    if (objects.isEmpty() || objects.size() > MAX_OBJECTS) {
      addFault("ticket", "objects", String.valueOf(objects.size()), "1 to " + MAX_OBJECTS);
    }
    Set<String> seen = new HashSet<>();
    for (ObjectState object : objects) {
      String name = TicketObjects.name(object);
      if (!seen.add(name)) {
        addFault(name, "name", name, "each object at most once in a ticket");
      }
      checkObject(name, object);
    }
    return List.copyOf(faults);
  }

  private void checkObject(String name, ObjectState object) {
    switch (object.getObjectCase()) {
      case POOL -> checkPool(name, object.getPool());
      case GROUP -> checkGroup(name, object.getGroup());
      case KEY_RING -> checkKeyRing(name, object.getKeyRing());
      case HOST_POLICY -> checkHost(name, object.getHostPolicy().getId());
      case REMOVED_POOL -> {
        if (checkName(name, object.getRemovedPool(), PoolName::new)) {
          checkExists(name, view.pool(new PoolName(object.getRemovedPool())).isPresent());
        }
      }
      case REMOVED_GROUP -> checkRemovedGroup(name, object.getRemovedGroup());
      case REMOVED_SERVER -> checkRemovedServer(name, object.getRemovedServer());
      case REMOVED_HOST_POLICY -> checkHost(name, object.getRemovedHostPolicy());
      default ->
          addFault(name, "kind", object.getObjectCase().name(), "pool, group, keys, host, server");
    }
  }

  private void checkPool(String name, Pool pool) {
    checkName(name, pool.getName(), PoolName::new);
    if (pool.getGroupsCount() == 0) {
      addFault(name, "groups", "[]", "at least one group");
    }
    Set<String> seen = new HashSet<>();
    for (String group : pool.getGroupsList()) {
      if (!seen.add(group)) {
        addFault(name, "groups", group, "each group at most once");
      }
      if (!existsAfterTicket(group)) {
        addFault(name, "groups", group, "a group of the control state or of this ticket");
      }
    }
    checkRange(name, "maxStalenessMillis", pool.getMaxStalenessMillis(), 0, MAX_STALENESS_MILLIS);
    checkRange(
        name, "maxConcurrentStatements", pool.getMaxConcurrentStatements(), 0, MAX_STATEMENTS);
  }

  private boolean existsAfterTicket(String group) {
    if (ticketGroups.contains(group)) {
      return true;
    }
    boolean removed = changedNames.contains("group/" + group);
    return !removed && isValid(group, GroupId::new) && view.group(new GroupId(group)).isPresent();
  }

  private void checkHost(String name, String host) {
    if (checkName(name, host, HostId::new) && !isKnownHost.test(host)) {
      addFault(name, "name", host, "a registered host or a host named by an earlier ticket");
    }
  }

  private void checkGroup(String name, Group group) {
    checkName(name, group.getId(), GroupId::new);
    checkRange(name, "slotsPerServer", group.getSlotsPerServer(), 1, MAX_SLOTS);
    checkRange(
        name,
        "connectionsPerServer",
        group.getConnectionsPerServer(),
        Math.max(1, group.getSlotsPerServer()),
        MAX_CONNECTIONS);
    if (group.getTerm() != 0 || !group.getPrimary().isEmpty() || group.getTermHistoryCount() > 0) {
      addFault(name, "term", String.valueOf(group.getTerm()), "no value; failovers set the term");
    }
  }

  private void checkKeyRing(String name, KeyRing ring) {
    if (ring.getKeysCount() == 0) {
      addFault(name, "keys", "[]", "at least one key");
    }
    Set<Integer> seen = new HashSet<>();
    for (Key key : ring.getKeysList()) {
      if (!seen.add(key.getId())) {
        addFault(name, "keys.id", Integer.toUnsignedString(key.getId()), "each id at most once");
      }
      if (key.getSecret().size() < SigningKey.MIN_SECRET_BYTES) {
        addFault(
            name,
            "keys.secretBase64",
            key.getSecret().size() + " bytes",
            "at least " + SigningKey.MIN_SECRET_BYTES + " bytes");
      }
    }
  }

  private void checkRemovedGroup(String name, String group) {
    if (!checkName(name, group, GroupId::new)) {
      return;
    }
    checkExists(name, view.group(new GroupId(group)).isPresent());
    String poolNames =
        view.pools().values().stream()
            .filter(pool -> pool.groups().contains(new GroupId(group)))
            .map(pool -> pool.name().value())
            // Pools that the ticket replaces or removes are checked in their new state only.
            .filter(poolName -> !changedNames.contains("pool/" + poolName))
            .collect(Collectors.joining(","));
    if (!poolNames.isEmpty()) {
      addFault(name, "removed", "in use by pool " + poolNames, "a group that no pool uses");
    }
  }

  private void checkRemovedServer(String name, String server) {
    if (!checkName(name, server, ServerId::new)) {
      return;
    }
    var known = view.server(new ServerId(server));
    checkExists(name, known.isPresent());
    if (known.isPresent()
        && known.get().status() != ServerStatus.EXPIRED
        && known.get().status() != ServerStatus.GONE) {
      addFault(
          name, "removed", "in use: the lease has not ended", "a server whose lease has ended");
    }
  }

  private void checkExists(String name, boolean exists) {
    if (!exists) {
      addFault(name, "removed", "unknown", "an object of the control state");
    }
  }

  private boolean checkName(String name, String value, Function<String, ?> type) {
    boolean valid = isValid(value, type);
    if (!valid) {
      addFault(name, "name", value, NAME_FORMAT);
    }
    return valid;
  }

  private static boolean isValid(String value, Function<String, ?> type) {
    try {
      type.apply(value);
      return true;
    } catch (AlderyardException invalid) {
      return false;
    }
  }

  private void checkRange(String name, String field, long value, long min, long max) {
    if (value < min || value > max) {
      addFault(name, field, String.valueOf(value), min + " to " + max);
    }
  }

  private void addFault(String object, String field, String value, String accepted) {
    faults.add(new FieldFault(object, field, value, accepted));
  }
}
