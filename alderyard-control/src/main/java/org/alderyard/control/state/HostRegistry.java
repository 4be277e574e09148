package org.alderyard.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.control.DeadHost;
import org.alderyard.protocol.generated.control.HostExpiry;
import org.alderyard.protocol.generated.state.Host;
import org.alderyard.protocol.generated.state.HostPolicy;
import org.alderyard.protocol.generated.state.ObjectState;

/**
 * Registrations of hosts, the operators' host policies, and the last incarnations of removed hosts.
 */
final class HostRegistry {
  /** Maximum number of removed hosts whose last incarnation is kept. */
  static final int MAX_REMOVED_HOSTS = 10_000;

  private final Map<String, Host> registrations = new TreeMap<>();
  private final Map<String, HostPolicy> policies = new TreeMap<>();
  // Last incarnations of removed hosts, in order of removal.
  private final Map<String, Long> removedIncarnations = new LinkedHashMap<>();

  /**
   * Registers a host and returns the changed objects. An incarnation below the last known one is
   * ignored.
   *
   * <p>A delayed registration of an earlier process of the same host would otherwise restore
   * addresses at which no process listens.
   */
  List<ObjectState> register(Host host) {
    if (host.getIncarnation() < lastIncarnation(host.getId())) {
      return List.of();
    }
    removedIncarnations.remove(host.getId());
    registrations.put(host.getId(), host);
    return List.of(withPolicy(host));
  }

  private long lastIncarnation(String id) {
    Host known = registrations.get(id);
    return known == null ? removedIncarnations.getOrDefault(id, 0L) : known.getIncarnation();
  }

  /**
   * Removes a host and returns the changed objects. An expiry for an incarnation other than the
   * registered one is ignored.
   */
  List<ObjectState> expire(HostExpiry expiry) {
    Host known = registrations.get(expiry.getHost());
    if (known == null || known.getIncarnation() != expiry.getIncarnation()) {
      return List.of();
    }
    registrations.remove(expiry.getHost());
    removedIncarnations.put(expiry.getHost(), expiry.getIncarnation());
    if (removedIncarnations.size() > MAX_REMOVED_HOSTS) {
      removedIncarnations.remove(removedIncarnations.keySet().iterator().next());
    }
    return List.of(ObjectState.newBuilder().setRemovedHost(expiry.getHost()).build());
  }

  /** Sets the policy of a host, which also applies to its later incarnations. */
  List<ObjectState> setPolicy(HostPolicy policy) {
    policies.put(policy.getId(), policy);
    return hostUpdate(policy.getId());
  }

  /** Removes the policy of a host, so that its registration applies without restrictions. */
  List<ObjectState> removePolicy(String id) {
    policies.remove(id);
    return hostUpdate(id);
  }

  private List<ObjectState> hostUpdate(String id) {
    Host known = registrations.get(id);
    return known == null ? List.of() : List.of(withPolicy(known));
  }

  private ObjectState withPolicy(Host host) {
    HostPolicy policy = policies.get(host.getId());
    if (policy == null) {
      return ObjectState.newBuilder().setHost(host).build();
    }
    Host.Builder restricted =
        host.toBuilder()
            .setProxy(host.getProxy() && policy.getProxy())
            .setControl(host.getControl() && policy.getControl())
            .setDraining(host.getDraining() || policy.getDraining());
    return ObjectState.newBuilder().setHost(restricted).build();
  }

  boolean isKnown(String id) {
    return registrations.containsKey(id) || policies.containsKey(id);
  }

  Optional<HostPolicy> policy(String id) {
    return Optional.ofNullable(policies.get(id));
  }

  Optional<Host> registration(String id) {
    return Optional.ofNullable(registrations.get(id));
  }

  void store(ControlSnapshot.Builder snapshot) {
    snapshot.addAllHostPolicies(policies.values()).addAllRegistrations(registrations.values());
    removedIncarnations.forEach(
        (id, incarnation) ->
            snapshot.addDeadHosts(DeadHost.newBuilder().setId(id).setIncarnation(incarnation)));
  }

  void restore(ControlSnapshot snapshot) {
    registrations.clear();
    policies.clear();
    removedIncarnations.clear();
    snapshot.getRegistrationsList().forEach(host -> registrations.put(host.getId(), host));
    snapshot.getHostPoliciesList().forEach(policy -> policies.put(policy.getId(), policy));
    snapshot
        .getDeadHostsList()
        .forEach(host -> removedIncarnations.put(host.getId(), host.getIncarnation()));
  }
}
