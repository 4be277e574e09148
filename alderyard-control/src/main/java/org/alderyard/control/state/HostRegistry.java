package org.alderyard.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.alderyard.common.id.HostId;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.control.DeadHost;
import org.alderyard.protocol.generated.control.HostExpiry;
import org.alderyard.protocol.generated.state.Host;
import org.alderyard.protocol.generated.state.HostPolicy;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.view.StateCodec;

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
   * Plans the registration of a host. An incarnation below the last known one is ignored.
   *
   * <p>A delayed registration of an earlier process of the same host would otherwise restore
   * addresses at which no process listens.
   */
  Plan register(Host host) {
    if (host.getIncarnation() < lastIncarnation(host.getId())) {
      return new Plan();
    }
    return new Plan()
        .effect(() -> removedIncarnations.remove(host.getId()))
        .effect(() -> registrations.put(host.getId(), host))
        .change(withPolicy(host, policy(host.getId())));
  }

  private long lastIncarnation(String id) {
    Host known = registrations.get(id);
    return known == null ? removedIncarnations.getOrDefault(id, 0L) : known.getIncarnation();
  }

  /**
   * Plans the removal of a host. An expiry for an incarnation other than the registered one is
   * ignored.
   */
  Plan expire(HostExpiry expiry) {
    Host known = registrations.get(expiry.getHost());
    if (known == null || known.getIncarnation() != expiry.getIncarnation()) {
      return new Plan();
    }
    return new Plan()
        .effect(() -> recordRemoval(known))
        .change(ObjectState.newBuilder().setRemovedHost(expiry.getHost()).build());
  }

  private void recordRemoval(Host host) {
    registrations.remove(host.getId());
    removedIncarnations.put(host.getId(), host.getIncarnation());
    if (removedIncarnations.size() > MAX_REMOVED_HOSTS) {
      removedIncarnations.remove(removedIncarnations.keySet().iterator().next());
    }
  }

  /** Plans a new policy of a host, which also applies to its later incarnations. */
  void setPolicy(HostPolicy policy, Plan plan) {
    plan.effect(() -> policies.put(policy.getId(), policy));
    plan.change(hostUpdate(policy.getId(), Optional.of(policy)));
  }

  /** Plans the removal of a policy, so that the host's registration applies unrestricted. */
  void removePolicy(String id, Plan plan) {
    plan.effect(() -> policies.remove(id));
    plan.change(hostUpdate(id, Optional.empty()));
  }

  private List<ObjectState> hostUpdate(String id, Optional<HostPolicy> policy) {
    return registration(id).map(known -> withPolicy(known, policy)).stream().toList();
  }

  private static ObjectState withPolicy(Host host, Optional<HostPolicy> policy) {
    Host.Builder restricted = host.toBuilder();
    policy.ifPresent(
        set ->
            restricted
                .setProxy(host.getProxy() && set.getProxy())
                .setControl(host.getControl() && set.getControl())
                .setDraining(host.getDraining() || set.getDraining()));
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
    SnapshotFilter.readable(
            snapshot.getRegistrationsList(), Host::getId, host -> StateCodec.host(host))
        .forEach(host -> registrations.put(host.getId(), host));
    SnapshotFilter.readable(
            snapshot.getHostPoliciesList(), HostPolicy::getId, policy -> new HostId(policy.getId()))
        .forEach(policy -> policies.put(policy.getId(), policy));
    snapshot
        .getDeadHostsList()
        .forEach(host -> removedIncarnations.put(host.getId(), host.getIncarnation()));
  }
}
