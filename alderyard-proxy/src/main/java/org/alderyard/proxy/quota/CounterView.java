package org.alderyard.proxy.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.RendezvousScores;
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
  private final CounterAssignment assignment = new CounterAssignment();
  private final RendezvousScores scores = new RendezvousScores();
  // Guarded by this.
  private Map<HostId, HostState> hosts = Map.of();
  private Map<ZoneName, List<HostState>> counters = Map.of();
  private final Map<String, List<HostState>> byOrganisation = new HashMap<>();
  private boolean initialized;
  private long joinedNanos;
  private boolean joining;
  private boolean sameHostsSinceStart;
  private long hostsChangedNanos;

  CounterView(HostState self, MonotonicClock clock) {
    this.self = self;
    this.clock = clock;
  }

  /** Returns the hosts that count the operations of an organisation. */
  synchronized List<HostState> countersOf(String organisation) {
    return byOrganisation.computeIfAbsent(
        organisation, name -> assignment.countersOf(name, counters));
  }

  /**
   * Returns since when no other process can have granted for this host: since its start, if its
   * earlier incarnation was among the same hosts, otherwise since the hosts last changed.
   */
  synchronized long countsSince(long startNanos) {
    return sameHostsSinceStart ? startNanos : hostsChangedNanos;
  }

  /** Returns the number of hosts that ask this host first: those of its availability zone. */
  synchronized int askingHosts() {
    return (int) workingHosts().filter(host -> host.zone().equals(self.zone())).count();
  }

  private Stream<HostState> workingHosts() {
    return hosts.values().stream().filter(HostState::acceptsNewWork);
  }

  /**
   * Returns this host's part of operations that are divided among all hosts. Parts are whole
   * numbers; which hosts get one more depends on the organisation.
   */
  synchronized int partOf(double operations, String organisation) {
    long working = workingHosts().count();
    if (working == 0 || operations < 1) {
      return 0;
    }
    long whole = (long) operations;
    long hash = RendezvousScores.nameHash(organisation);
    long ownScore = scores.score(hash, self.id());
    long rank = workingHosts().filter(host -> scores.score(hash, host.id()) > ownScore).count();
    return (int) (whole / working + (rank < whole % working ? 1 : 0));
  }

  /** Returns whether this host counts the operations of an organisation and may grant them. */
  synchronized boolean mayGrant(String organisation) {
    if (joining && clock.nowNanos() - joinedNanos < JOIN_DELAY_NANOS) {
      return false;
    }
    joining = false;
    return countersOf(organisation).stream().anyMatch(host -> host.id().equals(self.id()));
  }

  /** Records the hosts of a new view. Must be called for each view, in order. */
  synchronized void update(View view) {
    if (initialized && view.hosts() == hosts) {
      return;
    }
    if (isJoin(view)) {
      joining = true;
      joinedNanos = clock.nowNanos();
    }
    if (!view.hosts().keySet().equals(hosts.keySet())) {
      hostsChangedNanos = clock.nowNanos() + (joining ? JOIN_DELAY_NANOS : 0);
    }
    sameHostsSinceStart =
        !joining
            && (!initialized
                || sameHostsSinceStart && view.hosts().keySet().equals(hosts.keySet()));
    initialized = true;
    hosts = view.hosts();
    counters = assignment.counters(hosts.values());
    byOrganisation.clear();
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
