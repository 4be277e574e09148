package org.alderyard.proxy.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The organisations that this host counts, and since when no other process counts in its place.
 *
 * <p>An organisation that this host counts without interruption keeps its time when other counters
 * change. Not thread-safe.
 */
final class CounterTenure {
  private final long startNanos;
  private final Map<String, Long> sinceNanos = new HashMap<>();
  private final Set<String> known = new HashSet<>();

  /**
   * Creates the record of a process.
   *
   * @param startNanos the start of the process, before which an earlier one may have counted
   */
  CounterTenure(long startNanos) {
    this.startNanos = startNanos;
  }

  /**
   * Records the organisations of a new view.
   *
   * @param organisations all that have a limit
   * @param counted those that this host counts by this view
   * @param joins whether this host joins with this view
   * @param beginNanos when this host may begin to count what others have counted
   */
  void update(Set<String> organisations, Set<String> counted, boolean joins, long beginNanos) {
    sinceNanos.keySet().retainAll(counted);
    for (String organisation : counted) {
      // A host that joins, or an organisation that had a limit before, may have a predecessor that
      // still counts; an organisation that is new in this view has none.
      boolean countedBefore = joins || known.contains(organisation);
      sinceNanos.putIfAbsent(organisation, countedBefore ? beginNanos : startNanos);
    }
    // Names stay after their removal: an organisation may come back while a window still counts.
    known.addAll(organisations);
  }

  /** Begins anew at a time, as another host may have counted. */
  void restart(long beginNanos) {
    sinceNanos.replaceAll((organisation, since) -> Math.max(since, beginNanos));
  }

  /** Returns since when this host alone counts its part; empty if it does not count. */
  Optional<Long> since(String organisation) {
    return Optional.ofNullable(sinceNanos.get(organisation));
  }
}
