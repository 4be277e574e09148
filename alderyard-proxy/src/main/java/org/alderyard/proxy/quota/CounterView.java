package org.alderyard.proxy.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;

/**
 * The counters of all organisations in the current view.
 *
 * <p>A counter must not grant while its predecessor may still do so. A host that has joined stops
 * its predecessor as soon as the predecessor's view has it, but begins itself only after a delay
 * that is longer than a view lease: a host with an older view has stopped by then. A host that has
 * left or whose lease has expired has stopped before it is removed from the view, so that its
 * successor begins at once.
 *
 * <p>Thread-safe. No other lock is acquired while the lock of this object is held.
 */
final class CounterView {
  /** Longer than a view lease, which is 3 s. */
  static final long JOIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_200);

  private final HostState self;
  private final MonotonicClock clock;
  private final CounterSource source;
  private final CounterAssignment assignment = new CounterAssignment();
  // Guarded by this.
  private View current = View.EMPTY;
  private Map<HostId, HostState> hosts = Map.of();
  private Map<ZoneName, List<HostState>> counters = Map.of();
  private final Map<String, List<HostState>> byOrganisation = new HashMap<>();
  private boolean initialized;
  private long joinedNanos;
  private boolean joining;

  CounterView(HostState self, CounterSource source, MonotonicClock clock) {
    this.self = self;
    this.source = source;
    this.clock = clock;
  }

  /** Returns the hosts that count the operations of an organisation. */
  synchronized List<HostState> countersOf(String organisation) {
    return byOrganisation.computeIfAbsent(
        organisation,
        name ->
            source.counters(current, name).orElseGet(() -> assignment.countersOf(name, counters)));
  }

  /** Returns whether this host counts the operations of an organisation and may grant them. */
  synchronized boolean mayGrant(String organisation) {
    if (joining && clock.nowNanos() - joinedNanos < JOIN_DELAY_NANOS) {
      return false;
    }
    joining = false;
    return countersOf(organisation).stream().anyMatch(host -> host.id().equals(self.id()));
  }

  /** Records a new view. Must be called for each view, in order. */
  synchronized void update(View view) {
    boolean sameHosts = initialized && view.hosts() == hosts;
    boolean unchanged =
        sameHosts
            && view.groups() == current.groups()
            && view.configuration().equals(current.configuration());
    current = view;
    if (unchanged) {
      return;
    }
    byOrganisation.clear();
    if (sameHosts) {
      return;
    }
    if (isJoin(view)) {
      joining = true;
      joinedNanos = clock.nowNanos();
    }
    initialized = true;
    hosts = view.hosts();
    counters = assignment.counters(hosts.values(), host -> true);
  }

  /**
   * Returns whether this host has just joined. A host that was restarted finds its earlier
   * incarnation in its first view and was a counter all the time.
   */
  private boolean isJoin(View view) {
    HostState known = view.hosts().get(self.id());
    if (!initialized) {
      return known == null || known.incarnation() >= self.incarnation();
    }
    return known != null && !hosts.containsKey(self.id());
  }
}
