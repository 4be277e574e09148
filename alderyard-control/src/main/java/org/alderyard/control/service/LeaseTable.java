package org.alderyard.control.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Leases of servers or hosts that the leader keeps in memory. Not thread-safe; the current time is
 * passed in by the caller.
 *
 * @param <K> the type of the lease holder's id
 */
final class LeaseTable<K extends Comparable<K>> {

  /**
   * A lease of one incarnation of its holder.
   *
   * @param endMillis the end of the lease on the monotonic clock, in milliseconds
   */
  record Lease(long incarnation, long endMillis) {}

  /** An expired lease. */
  record Expired<K>(K holder, long incarnation) {}

  private final Map<K, Lease> leases = new TreeMap<>();

  /**
   * Grants or extends a lease. A renewal with a lower incarnation than the known one is ignored.
   */
  void renew(K holder, long incarnation, long endMillis) {
    Lease known = leases.get(holder);
    if (known != null && known.incarnation() > incarnation) {
      return;
    }
    leases.put(holder, new Lease(incarnation, endMillis));
  }

  /** Removes the leases whose holder does not match the predicate. */
  void retainHolders(Predicate<K> predicate) {
    leases.keySet().removeIf(holder -> !predicate.test(holder));
  }

  /** Returns the lease of a holder; empty when it has none. */
  Optional<Lease> find(K holder) {
    return Optional.ofNullable(leases.get(holder));
  }

  /** Returns the expired leases, which stay in the table until they are removed or renewed. */
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

  /** Removes all leases. */
  void clear() {
    leases.clear();
  }
}
