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

/** Finds every fault of a ticket's objects, given the state that they would change. */
public final class TicketRules {
  /** The most objects of one ticket. */
  public static final int MAX_OBJECTS = 10_000;

  private static final long MAX_STALENESS_MILLIS = 24L * 60 * 60 * 1000;
  private static final int MAX_STATEMENTS = 1_000_000;
  private static final int MAX_SLOTS = 10_000;
  private static final int MAX_CONNECTIONS = 100_000;
  private static final String NAME = "1 to 128 characters of [A-Za-z0-9._:-]";

  private final View view;
  private final Predicate<String> hostKnown;
  private final List<ObjectState> objects;
  private final Set<String> touched;
  private final Set<String> addedGroups;
  private final List<FieldFault> faults = new ArrayList<>();

  private TicketRules(View view, Predicate<String> hostKnown, List<ObjectState> objects) {
    this.view = view;
    this.hostKnown = hostKnown;
    this.objects = objects;
    touched = objects.stream().map(TicketObjects::name).collect(Collectors.toSet());
    addedGroups =
        objects.stream()
            .filter(ObjectState::hasGroup)
            .map(object -> object.getGroup().getId())
            .collect(Collectors.toSet());
  }

  /** Returns each fault; none when the objects may become state. */
  public static List<FieldFault> check(
      View view, Predicate<String> hostKnown, List<ObjectState> objects) {
    return new TicketRules(view, hostKnown, objects).run();
  }

  private List<FieldFault> run() {
    if (objects.isEmpty() || objects.size() > MAX_OBJECTS) {
      add("ticket", "objects", String.valueOf(objects.size()), "1 to " + MAX_OBJECTS);
    }
    Set<String> seen = new HashSet<>();
    for (ObjectState object : objects) {
      String name = TicketObjects.name(object);
      if (!seen.add(name)) {
        add(name, "name", name, "each object once in a ticket");
      }
      checkObject(name, object);
    }
    return List.copyOf(faults);
  }

  private void checkObject(String name, ObjectState object) {
    switch (object.getObjectCase()) {
      case POOL -> pool(name, object.getPool());
      case GROUP -> group(name, object.getGroup());
      case KEY_RING -> keys(name, object.getKeyRing());
      case HOST_POLICY -> host(name, object.getHostPolicy().getId());
      case REMOVED_POOL -> {
        if (named(name, object.getRemovedPool(), PoolName::new)) {
          known(name, view.pool(new PoolName(object.getRemovedPool())).isPresent());
        }
      }
      case REMOVED_GROUP -> removedGroup(name, object.getRemovedGroup());
      case REMOVED_SERVER -> removedServer(name, object.getRemovedServer());
      case REMOVED_HOST_POLICY -> host(name, object.getRemovedHostPolicy());
      default ->
          add(name, "kind", object.getObjectCase().name(), "pool, group, keys, host, server");
    }
  }

  private void pool(String name, Pool pool) {
    named(name, pool.getName(), PoolName::new);
    if (pool.getGroupsCount() == 0) {
      add(name, "groups", "[]", "at least one group");
    }
    Set<String> seen = new HashSet<>();
    for (String group : pool.getGroupsList()) {
      if (!seen.add(group)) {
        add(name, "groups", group, "each group once");
      }
      if (!groupAfterwards(group)) {
        add(name, "groups", group, "a group of the control state or of this ticket");
      }
    }
    range(name, "maxStalenessMillis", pool.getMaxStalenessMillis(), 0, MAX_STALENESS_MILLIS);
    range(name, "maxConcurrentStatements", pool.getMaxConcurrentStatements(), 0, MAX_STATEMENTS);
  }

  private boolean groupAfterwards(String group) {
    if (addedGroups.contains(group)) {
      return true;
    }
    boolean removed = touched.contains("group/" + group);
    return !removed && valid(group, GroupId::new) && view.group(new GroupId(group)).isPresent();
  }

  private void host(String name, String host) {
    if (named(name, host, HostId::new) && !hostKnown.test(host)) {
      add(name, "name", host, "a host that runs or that a ticket named before");
    }
  }

  private void group(String name, Group group) {
    named(name, group.getId(), GroupId::new);
    range(name, "slotsPerServer", group.getSlotsPerServer(), 1, MAX_SLOTS);
    range(
        name,
        "connectionsPerServer",
        group.getConnectionsPerServer(),
        Math.max(1, group.getSlotsPerServer()),
        MAX_CONNECTIONS);
    if (group.getTerm() != 0 || !group.getPrimary().isEmpty() || group.getTermHistoryCount() > 0) {
      add(name, "term", String.valueOf(group.getTerm()), "nothing; failovers set it");
    }
  }

  private void keys(String name, KeyRing ring) {
    if (ring.getKeysCount() == 0) {
      add(name, "keys", "[]", "at least one key");
    }
    Set<Integer> seen = new HashSet<>();
    for (Key key : ring.getKeysList()) {
      if (!seen.add(key.getId())) {
        add(name, "keys.id", Integer.toUnsignedString(key.getId()), "each id once");
      }
      if (key.getSecret().size() < SigningKey.MIN_SECRET_BYTES) {
        add(
            name,
            "keys.secretBase64",
            key.getSecret().size() + " bytes",
            "at least " + SigningKey.MIN_SECRET_BYTES + " bytes");
      }
    }
  }

  private void removedGroup(String name, String group) {
    if (!named(name, group, GroupId::new)) {
      return;
    }
    known(name, view.group(new GroupId(group)).isPresent());
    String users =
        view.pools().values().stream()
            .filter(pool -> pool.groups().contains(new GroupId(group)))
            .map(pool -> pool.name().value())
            // A pool that the ticket replaces or removes is judged by its new state alone.
            .filter(pool -> !touched.contains("pool/" + pool))
            .collect(Collectors.joining(","));
    if (!users.isEmpty()) {
      add(name, "removed", "in use by pool " + users, "a group that no pool names");
    }
  }

  private void removedServer(String name, String server) {
    if (!named(name, server, ServerId::new)) {
      return;
    }
    var known = view.server(new ServerId(server));
    known(name, known.isPresent());
    if (known.isPresent()
        && known.get().status() != ServerStatus.EXPIRED
        && known.get().status() != ServerStatus.GONE) {
      add(name, "removed", "in use: its lease runs", "a server whose lease ran out");
    }
  }

  private void known(String name, boolean exists) {
    if (!exists) {
      add(name, "removed", "unknown", "an object of the control state");
    }
  }

  private boolean named(String name, String value, Function<String, ?> type) {
    boolean valid = valid(value, type);
    if (!valid) {
      add(name, "name", value, NAME);
    }
    return valid;
  }

  private static boolean valid(String value, Function<String, ?> type) {
    try {
      type.apply(value);
      return true;
    } catch (AlderyardException wrong) {
      return false;
    }
  }

  private void range(String name, String field, long value, long min, long max) {
    if (value < min || value > max) {
      add(name, field, String.valueOf(value), min + " to " + max);
    }
  }

  private void add(String object, String field, String value, String accepted) {
    faults.add(new FieldFault(object, field, value, accepted));
  }
}
