package org.alderyard.control.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The leases that a leader keeps, by name; not thread-safe, time comes in with each call.
 *
 * @param <K> the type of the name
 */
final class LeaseTable<K extends Comparable<K>> {

  /** A lease of one incarnation. */
  record Lease(long incarnation, long endMillis) {}

  /** A lease that ran out. */
  record Expired<K>(K holder, long incarnation) {}

  private final Map<K, Lease> leases = new TreeMap<>();

  /** Grants or extends a lease; one of a lower incarnation than the known one is ignored. */
  void renew(K holder, long incarnation, long endMillis) {
    Lease known = leases.get(holder);
    if (known != null && known.incarnation() > incarnation) {
      return;
    }
    leases.put(holder, new Lease(incarnation, endMillis));
  }

  /** Ends the leases of all others. */
  void keepOnly(Predicate<K> holders) {
    leases.keySet().removeIf(holder -> !holders.test(holder));
  }

  /** Returns the lease of a holder. */
  Optional<Lease> find(K holder) {
    return Optional.ofNullable(leases.get(holder));
  }

  /** Returns the leases that ran out; they stay until they are removed or renewed. */
  List<Expired<K>> expired(long nowMillis) {
    List<Expired<K>> result = new ArrayList<>();
    leases.forEach(
        (holder, lease) -> {
          if (lease.endMillis() <= nowMillis) {
            result.add(new Expired<>(holder, lease.incarnation()));
          }
        });
    return result;
  }

  /** Forgets all leases. */
  void clear() {
    leases.clear();
  }
}
