package org.alderyard.proxy.serverhealth;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerState;

/**
 * Health of the servers of one group, as one host sees it. Decides which servers get reads, and how
 * many.
 *
 * <p>While another server is usable, ejected servers and servers whose bound is used up get no
 * reads. A server whose trial or paced statement is due comes first: otherwise its score, which
 * stems from bad answers, would keep it idle. Statements that only the primary can run don't pass
 * through this class.
 */
public final class GroupHealth {
  /** At most one in this number of a group's servers is ejected. */
  private static final int SERVERS_PER_EJECTION = 3;

  /** Requests without an answer after which a server that answers again is paced. */
  private static final int UNANSWERED_BEFORE_RECOVERY = 3;

  /** Interval between two checks for outliers while no read fails. */
  private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final HealthOptions options;
  private final double phase;
  private final Supplier<FleetSize> fleet;
  private final GroupServers servers;
  private final Set<ServerId> recovered = new HashSet<>();
  private boolean initialised;
  private long checkedNanos;
  private boolean reportReceived;
  private long reportReceivedNanos;

  /**
   * Creates a group without observations.
   *
   * @param phase spreads the trials and first statements of hosts, from 0 to 1
   * @param fleet the hosts that use the group's servers; takes no lock
   */
  public GroupHealth(HealthOptions options, double phase, Supplier<FleetSize> fleet) {
    this.options = options;
    this.phase = phase;
    this.fleet = fleet;
    servers = new GroupServers(phase);
  }

  /**
   * Arranges the servers that may run a read.
   *
   * @param ranked the servers that may run it, best first
   * @param mayComeFirst whether a server that is not at the front may be moved there
   * @param usable whether a server is expected to answer
   */
  public List<ServerState> arrange(
      List<ServerState> ranked,
      Predicate<ServerState> mayComeFirst,
      Predicate<ServerState> usable,
      long nowNanos) {
    if (!options.enabled()) {
      return ranked;
    }
    detectStarts(ranked, nowNanos);
    boolean regularUsable =
        ranked.stream()
            .anyMatch(server -> servers.health(server).isRegular() && usable.test(server));
    if (!regularUsable) {
      return ranked;
    }
    List<ServerState> first = new ArrayList<>();
    List<ServerState> regular = new ArrayList<>();
    for (ServerState server : ranked) {
      ServerHealth health = servers.health(server);
      boolean admitted =
          health.ejection().isEjected()
              ? health.admitsTrial(nowNanos)
              : health.pace().admits(fleet.get(), nowNanos);
      if (health.isRegular() || admitted && !mayComeFirst.test(server)) {
        regular.add(server);
      } else if (admitted && usable.test(server)) {
        first.add(server);
      }
    }
    first.addAll(regular);
    return first;
  }

  /**
   * Finds servers that have started since the last call. Those of the first call were there before
   * this host was.
   */
  private void detectStarts(List<ServerState> current, long nowNanos) {
    for (ServerState server : current) {
      if (initialised && !servers.knows(server)) {
        restrict(servers.health(server), "started", nowNanos);
      }
    }
    initialised |= !current.isEmpty();
  }

  /** Removes the state of servers that are no longer in the view. */
  public void retain(Collection<ServerId> current) {
    servers.retain(current);
  }

  /** Records that a statement is sent to a server. */
  public void started(ServerState server) {
    if (options.enabled()) {
      servers.incarnation(server).ifPresent(ServerHealth::started);
    }
  }

  /** Records that a statement has ended at a server. */
  public void ended(ServerState server) {
    if (options.enabled()) {
      servers.incarnation(server).ifPresent(ServerHealth::ended);
    }
  }

  /** Records that a request to a server got no answer. */
  public void unanswered(ServerState server) {
    if (options.enabled()) {
      servers.incarnation(server).ifPresent(ServerHealth::unanswered);
    }
  }

  /** Records an answer of any kind. */
  public void answered(ServerState server, long nowNanos) {
    if (options.enabled()) {
      servers
          .incarnation(server)
          .filter(health -> health.answered() >= UNANSWERED_BEFORE_RECOVERY)
          .ifPresent(health -> restrict(health, "recovered", nowNanos));
    }
  }

  /** Records what came back for a read that any server of the group may run. */
  public void read(ServerState server, ReadOutcome outcome, long tookNanos, long nowNanos) {
    if (options.enabled()) {
      servers.incarnation(server).ifPresent(health -> read(health, outcome, tookNanos, nowNanos));
    }
  }

  private void read(ServerHealth health, ReadOutcome outcome, long tookNanos, long nowNanos) {
    double millis = tookNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
    health.reads().add(outcome, millis, nowNanos);
    OptionalDouble peerMillis = servers.peerMillis(health, nowNanos);
    if (health.ejection().isEjected()) {
      trialEnded(health, outcome, millis, peerMillis, nowNanos);
    } else if (peerMillis.isPresent()) {
      adjustPace(health, ReadSums.of(outcome, millis), !hasReports(nowNanos), peerMillis, nowNanos);
    }
    boolean checkDue = nowNanos - checkedNanos >= CHECK_NANOS;
    if (outcome == ReadOutcome.FAILED || checkDue) {
      ejectOutliers(nowNanos);
    }
  }

  private boolean hasReports(long nowNanos) {
    return reportReceived && nowNanos - reportReceivedNanos < ServerReads.REPORT_LIFETIME_NANOS;
  }

  private void trialEnded(
      ServerHealth health,
      ReadOutcome outcome,
      double millis,
      OptionalDouble peerMillis,
      long nowNanos) {
    if (!health.ejection().isTrialDue(nowNanos) || outcome == ReadOutcome.REFUSED) {
      return;
    }
    boolean slow = peerMillis.isPresent() && OutlierPolicy.isSlow(millis, peerMillis.getAsDouble());
    if (outcome == ReadOutcome.FAILED || slow) {
      health.ejection().eject(fleet.get().hosts(), nowNanos);
    } else if (health.ejection().trialSucceeded(nowNanos)) {
      readmitted(health, "trials", nowNanos);
    }
  }

  private void readmitted(ServerHealth health, String reason, long nowNanos) {
    recovered.add(health.id());
    servers.addEvent(
        HealthEvent.Kind.READMITTED, health, reason, health.ejection().spanNanos(), nowNanos);
    health.reads().clear();
    restrict(health, "readmitted", nowNanos);
  }

  private void restrict(ServerHealth health, String reason, long nowNanos) {
    OptionalDouble peerMillis = servers.peerMillis(health, nowNanos);
    // Without the answers of peers the answers of this server can't be judged.
    if (!options.paced() || peerMillis.isEmpty()) {
      return;
    }
    health.pace().restrict(fleet.get(), peerMillis.getAsDouble(), nowNanos);
    servers.addEvent(HealthEvent.Kind.BOUNDED, health, reason, 0, nowNanos);
  }

  private void adjustPace(
      ServerHealth health,
      ReadSums reads,
      boolean standsForFleet,
      OptionalDouble peerMillis,
      long nowNanos) {
    boolean wasBounded = health.pace().isBounded();
    health.pace().adjust(reads, standsForFleet, peerMillis.getAsDouble(), fleet.get(), nowNanos);
    if (wasBounded && !health.pace().isBounded()) {
      recovered.add(health.id());
      servers.addEvent(
          HealthEvent.Kind.FULL_PACE,
          health,
          "answers",
          health.pace().boundedForNanos(nowNanos),
          nowNanos);
    }
  }

  private void ejectOutliers(long nowNanos) {
    checkedNanos = nowNanos;
    if (!options.shared()) {
      return;
    }
    int allowed = servers.count(health -> true) / SERVERS_PER_EJECTION - ejectedCount();
    if (allowed <= 0) {
      return;
    }
    servers.all().stream()
        .filter(health -> !health.ejection().isEjected())
        .filter(health -> outlier(health, nowNanos).isPresent())
        .sorted(Comparator.comparingDouble(health -> -badness(health)))
        .limit(allowed)
        .toList()
        .forEach(health -> eject(health, nowNanos));
  }

  private Optional<OutlierPolicy.Reason> outlier(ServerHealth health, long nowNanos) {
    return OutlierPolicy.outlier(
        health.reads(), servers.others(health, nowNanos), !health.pace().isBounded(), nowNanos);
  }

  /** Orders outliers: failures before response time. */
  private static double badness(ServerHealth health) {
    return health.reads().recentFailedShare() * 1_000_000 + health.reads().recentMillis();
  }

  private void eject(ServerHealth health, long nowNanos) {
    String reason = outlier(health, nowNanos).map(Enum::name).orElse("").toLowerCase(Locale.ROOT);
    health.ejection().eject(fleet.get().hosts(), nowNanos);
    servers.addEvent(
        HealthEvent.Kind.EJECTED, health, reason, health.ejection().spanNanos(), nowNanos);
  }

  /** Returns the decisions since the last call, oldest first. */
  public List<HealthEvent> takeEvents() {
    return servers.takeEvents();
  }

  /** Returns where in a spread over all hosts this host is, from 0 to 1. */
  public double phase() {
    return phase;
  }

  /** Returns the servers that since the last call again get reads without a bound. */
  public Set<ServerId> takeRecovered() {
    if (recovered.isEmpty()) {
      return Set.of();
    }
    Set<ServerId> taken = Set.copyOf(recovered);
    recovered.clear();
    return taken;
  }

  /** Returns the number of ejected servers. */
  public int ejectedCount() {
    return servers.count(health -> health.ejection().isEjected());
  }

  /** Returns the number of servers whose statements are bounded. */
  public int boundedCount() {
    return servers.count(health -> health.pace().isBounded());
  }

  /** Returns the reads of this host since the last call, to be reported to other hosts. */
  public List<ReadReport> takeReports() {
    return servers.takeReports();
  }

  /**
   * Applies what the other hosts together observed.
   *
   * @param reports sums since the last call, by {@link ReadReport#server()}
   */
  public void applyReports(Map<Integer, ReadReport> reports, long nowNanos) {
    reportReceived = true;
    reportReceivedNanos = nowNanos;
    for (ServerHealth health : servers.all()) {
      ReadReport report = reports.get(ReadReport.fingerprint(health.id(), health.incarnation()));
      if (report != null) {
        applyReport(health, report, nowNanos);
      }
    }
    ejectOutliers(nowNanos);
  }

  private void applyReport(ServerHealth health, ReadReport report, long nowNanos) {
    ReadSums sums = report.sums();
    health.reads().addReported(sums, nowNanos);
    if (report.coldRemainingMillis() > 0 && health.reportedCold()) {
      restrict(health, "cold", nowNanos);
    }
    OptionalDouble peerMillis = servers.peerMillis(health, nowNanos);
    if (peerMillis.isEmpty()) {
      return;
    }
    if (!health.ejection().isEjected()) {
      adjustPace(health, sums, false, peerMillis, nowNanos);
    } else if (health.ejection().isServed(nowNanos)) {
      judgeEjected(health, health.ejection().addReported(sums), peerMillis.getAsDouble(), nowNanos);
    }
  }

  private void judgeEjected(
      ServerHealth health, ReadSums reported, double peerMillis, long nowNanos) {
    if (OutlierPolicy.servesAgain(reported, peerMillis)) {
      health.ejection().readmit(nowNanos);
      readmitted(health, "reports", nowNanos);
    } else if (reported.failed() >= 1) {
      // The trials of other hosts failed; this host need not repeat them.
      health.ejection().eject(fleet.get().hosts(), nowNanos);
    }
  }
}
