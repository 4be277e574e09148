package org.alderyard.proxy.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.RendezvousScores;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.OrganisationQuota;
import org.alderyard.common.view.OrganisationState;
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
  /** How long another host may act on an older view: longer than a view lease, which is 3 s. */
  private static final long STALE_VIEW_NANOS = TimeUnit.MILLISECONDS.toNanos(3_200);

  private final HostState self;
  private final MonotonicClock clock;
  private final LimitShares shares;
  private final CounterAssignment assignment;
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
  private Optional<ConfigurationState> configuration = Optional.empty();
  private final CounterTenure tenure;

  CounterView(HostState self, MonotonicClock clock, LimitShares shares) {
    this.self = self;
    this.clock = clock;
    this.shares = shares;
    assignment = new CounterAssignment(shares.minCounters());
    tenure = new CounterTenure(clock.nowNanos());
  }

  /** Returns the hosts that count the operations of an organisation. */
  synchronized List<HostState> countersOf(String organisation, OrganisationQuota quota) {
    List<HostState> all =
        byOrganisation.computeIfAbsent(organisation, name -> assignment.countersOf(name, counters));
    int parts = shares.parts(quota, all.size());
    if (parts == all.size()) {
      return all;
    }
    long hash = RendezvousScores.nameHash(organisation);
    return all.stream()
        .sorted(Comparator.comparingLong(host -> scores.score(hash, host.id())))
        .limit(parts)
        .toList();
  }

  /**
   * Returns since when no other process can have granted for this host: since its start, if its
   * earlier incarnation was among the same hosts, otherwise since the hosts last changed.
   */
  synchronized long countsSince(String organisation, long startNanos) {
    if (shares.countsBeforeBegin()) {
      return tenure.since(organisation).orElseGet(clock::nowNanos);
    }
    return sameHostsSinceStart ? startNanos : hostsChangedNanos;
  }

  /** Returns whether this host counts an organisation by its current view. */
  synchronized boolean counts(String organisation) {
    return tenure.since(organisation).isPresent();
  }

  /** Records that another host may have counted in place of this one until now. */
  synchronized void restartTenure() {
    tenure.restart(clock.nowNanos() + STALE_VIEW_NANOS);
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
  synchronized boolean mayGrant(String organisation, OrganisationQuota quota) {
    if (shares.countsBeforeBegin()) {
      return tenure.since(organisation).filter(since -> clock.nowNanos() >= since).isPresent();
    }
    if (isDelayed()) {
      return false;
    }
    return isCounter(organisation, quota);
  }

  private boolean isCounter(String organisation, OrganisationQuota quota) {
    return countersOf(organisation, quota).stream().anyMatch(host -> host.id().equals(self.id()));
  }

  private boolean isDelayed() {
    joining = joining && clock.nowNanos() - joinedNanos < shares.joinDelayNanos();
    return joining;
  }

  /** Records the hosts of a new view. Must be called for each view, in order. */
  synchronized void update(View view) {
    boolean sameHosts = initialized && view.hosts() == hosts;
    boolean joins = !sameHosts && isJoin(view);
    if (!sameHosts) {
      updateHosts(view, joins);
    }
    if (shares.countsBeforeBegin() && !(sameHosts && view.configuration().equals(configuration))) {
      configuration = view.configuration();
      updateTenure(joins);
    }
  }

  private void updateTenure(boolean joins) {
    Map<String, OrganisationQuota> quotas = new HashMap<>();
    for (OrganisationState organisation :
        configuration.map(current -> current.organisations().all()).orElse(List.of())) {
      organisation.quota().ifPresent(quota -> quotas.put(organisation.name(), quota));
    }
    Set<String> counted =
        quotas.keySet().stream()
            .filter(name -> isCounter(name, quotas.get(name)))
            .collect(Collectors.toSet());
    long begin = isDelayed() ? joinedNanos + shares.joinDelayNanos() : clock.nowNanos();
    tenure.update(quotas.keySet(), counted, joins, begin);
  }

  private void updateHosts(View view, boolean joins) {
    if (joins) {
      joining = true;
      joinedNanos = clock.nowNanos();
    }
    if (!view.hosts().keySet().equals(hosts.keySet())) {
      hostsChangedNanos = clock.nowNanos() + (joining ? shares.joinDelayNanos() : 0);
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
    HostState before = hosts.get(self.id());
    if (shares.countsBeforeBegin() && before != null && !before.acceptsNewWork()) {
      return known != null && known.acceptsNewWork();
    }
    return known != null && before == null;
  }
}
