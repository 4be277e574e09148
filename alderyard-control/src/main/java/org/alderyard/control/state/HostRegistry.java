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

/** What hosts registered, what operators allow them, and which incarnations are gone. */
final class HostRegistry {
  /** Hosts that are gone and whose incarnation is remembered. */
  static final int DEAD_LIMIT = 10_000;

  private final Map<String, Host> registrations = new TreeMap<>();
  private final Map<String, HostPolicy> policies = new TreeMap<>();
  // In the order in which they went.
  private final Map<String, Long> dead = new LinkedHashMap<>();

  /**
   * Registers a host.
   *
   * <p>Guards against a late registration of an earlier process under the same name: it would put
   * back addresses at which nobody listens. An incarnation below the last known one is ignored.
   */
  List<ObjectState> register(Host host) {
    if (host.getIncarnation() < lastIncarnation(host.getId())) {
      return List.of();
    }
    dead.remove(host.getId());
    registrations.put(host.getId(), host);
    return List.of(effective(host));
  }

  private long lastIncarnation(String id) {
    Host known = registrations.get(id);
    return known == null ? dead.getOrDefault(id, 0L) : known.getIncarnation();
  }

  /** Takes a host out; an expiry of another incarnation than the registered one is ignored. */
  List<ObjectState> expire(HostExpiry expiry) {
    Host known = registrations.get(expiry.getHost());
    if (known == null || known.getIncarnation() != expiry.getIncarnation()) {
      return List.of();
    }
    registrations.remove(expiry.getHost());
    dead.put(expiry.getHost(), expiry.getIncarnation());
    if (dead.size() > DEAD_LIMIT) {
      dead.remove(dead.keySet().iterator().next());
    }
    return List.of(ObjectState.newBuilder().setRemovedHost(expiry.getHost()).build());
  }

  /** Sets what a host may do; it holds for later incarnations too. */
  List<ObjectState> setPolicy(HostPolicy policy) {
    policies.put(policy.getId(), policy);
    return refresh(policy.getId());
  }

  /** Lets a host do what it registered for. */
  List<ObjectState> removePolicy(String id) {
    policies.remove(id);
    return refresh(id);
  }

  private List<ObjectState> refresh(String id) {
    Host known = registrations.get(id);
    return known == null ? List.of() : List.of(effective(known));
  }

  private ObjectState effective(Host host) {
    HostPolicy policy = policies.get(host.getId());
    if (policy == null) {
      return ObjectState.newBuilder().setHost(host).build();
    }
    Host.Builder allowed =
        host.toBuilder()
            .setProxy(host.getProxy() && policy.getProxy())
            .setControl(host.getControl() && policy.getControl())
            .setDraining(host.getDraining() || policy.getDraining());
    return ObjectState.newBuilder().setHost(allowed).build();
  }

  boolean known(String id) {
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
    dead.forEach(
        (id, incarnation) ->
            snapshot.addDeadHosts(DeadHost.newBuilder().setId(id).setIncarnation(incarnation)));
  }

  void restore(ControlSnapshot snapshot) {
    registrations.clear();
    policies.clear();
    dead.clear();
    snapshot.getRegistrationsList().forEach(host -> registrations.put(host.getId(), host));
    snapshot.getHostPoliciesList().forEach(policy -> policies.put(policy.getId(), policy));
    snapshot.getDeadHostsList().forEach(host -> dead.put(host.getId(), host.getIncarnation()));
  }
}
