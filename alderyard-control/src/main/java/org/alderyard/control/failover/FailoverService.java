package org.alderyard.control.failover;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.common.concurrent.RepeatedTask;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.watch.WatcherAssignment;
import org.alderyard.control.failover.FailoverObserver.Milestone;
import org.alderyard.control.failover.SuspicionQuorum.Suspicion;
import org.alderyard.control.failover.SuspicionQuorum.Verdict;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.failover.FailoverMethods;
import org.alderyard.protocol.generated.failover.HandOverReply;
import org.alderyard.protocol.generated.failover.HandOverRequest;
import org.alderyard.protocol.generated.failover.WatchReport;
import org.alderyard.protocol.generated.failover.WatchReportReply;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.PeerIdentity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects the suspicions of watchers and runs the failovers of all groups on the leader of the
 * control log.
 *
 * <p>A host that is not the leader keeps no failover state: the records are in the control log, and
 * the next leader collects suspicions and server responses again.
 */
public final class FailoverService implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(FailoverService.class);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
  private static final int REPORT_INTERVAL_MILLIS = 500;
  private static final long MAX_SUSPICION_AGE_MILLIS = 3L * REPORT_INTERVAL_MILLIS;

  private final FailoverContext context;
  private final DirectorOptions options;
  private final FailoverQueue queue;
  private final WatcherAssignment watcherAssignment = new WatcherAssignment();
  // The fields below are guarded by lock. The monitor of a GroupRun may be acquired while lock is
  // held, but not the other way round.
  private final Object lock = new Object();
  private final SuspicionQuorum quorum = new SuspicionQuorum(MAX_SUSPICION_AGE_MILLIS);
  private final Map<GroupId, GroupRun> groupRuns = new TreeMap<>();
  private final Map<GroupId, Long> inactiveSinceMillis = new HashMap<>();
  private final Map<GroupId, Long> inFlightGrants = new HashMap<>();
  private View scannedView = View.EMPTY;
  private boolean wasLeader;
  private Optional<RepeatedTask> tickTimer = Optional.empty();

  /** Creates a service that is idle until {@link #start()}. */
  public FailoverService(
      ControlLog controlLog,
      FailoverTable table,
      Supplier<View> views,
      ServerAdmin admin,
      WorkerPool workers,
      MonotonicClock clock,
      InstantSource wallClock,
      DirectorOptions options,
      FailoverObserver observer) {
    this.options = options;
    this.queue = new FailoverQueue(options.maxConcurrentFailovers());
    this.context =
        new FailoverContext(
            new Director(options),
            new FlapBackoff(options),
            table,
            views,
            new StepProposer(controlLog, wallClock),
            admin,
            workers,
            clock,
            observer);
  }

  /** Registers the methods of this service with a dispatcher. */
  public void serve(Dispatcher dispatcher) {
    dispatcher
        .serve(FailoverMethods.WATCH_REPORT, this::handleWatchReport)
        .serve(FailoverMethods.HAND_OVER, (peer, request) -> handleHandOver(request));
  }

  /** Starts to run failovers whenever this host is the leader. */
  public void start() {
    synchronized (lock) {
      tickTimer = Optional.of(context.workers().scheduleRepeatedly(TICK_INTERVAL, this::tick));
    }
  }

  private CompletableFuture<WatchReportReply> handleWatchReport(
      PeerIdentity peer, WatchReport report) {
    requireLeader();
    long nowMillis = context.clock().nowMillis();
    Map<GroupId, Suspicion> suspected = new HashMap<>();
    report
        .getSuspectedList()
        .forEach(
            suspectedPrimary ->
                suspected.put(
                    new GroupId(suspectedPrimary.getGroup()),
                    new Suspicion(
                        suspectedPrimary.getTerm(),
                        new ServerId(suspectedPrimary.getPrimary()),
                        nowMillis - suspectedPrimary.getSuspectedForMillis(),
                        nowMillis)));
    synchronized (lock) {
      quorum.updateSuspicions(peer.host(), suspected);
    }
    if (!suspected.isEmpty()) {
      log.info("event=suspicion watcher={} groups={}", peer.host(), suspected.keySet());
      tick();
    }
    return CompletableFuture.completedFuture(
        WatchReportReply.newBuilder().setNextReportMillis(REPORT_INTERVAL_MILLIS).build());
  }

  /**
   * Starts a planned hand-over; the future completes once the term is granted or the hand-over is
   * refused.
   */
  private CompletableFuture<HandOverReply> handleHandOver(HandOverRequest request) {
    requireLeader();
    GroupId group = new GroupId(request.getGroup());
    FailoverRecord record =
        context
            .record(group)
            .orElseThrow(
                () ->
                    AlderyardException.notRun(
                        ErrorCode.NOT_FOUND, "group '" + group + "' does not exist"));
    long waitMillis =
        context
            .backoff()
            .waitMillis(record.grantedAtMillis(), context.proposer().wallClockMillis());
    if (record.phase() != FailoverPhase.STEADY || waitMillis > 0) {
      throw AlderyardException.notRun(
          ErrorCode.OVERLOADED,
          "group " + group + " is in a failover or in backoff after several recent failovers",
          Math.max(waitMillis, options.flapBaseMillis()));
    }
    context.notifyMilestone(group, record.term() + 1, Milestone.AGREED);
    return proposeGrant(record, FailoverKind.PLANNED)
        .thenApply(accepted -> HandOverReply.newBuilder().setTerm(record.term() + 1).build());
  }

  private void requireLeader() {
    if (!context.proposer().isLeader()) {
      throw AlderyardException.notRun(ErrorCode.NOT_LEADER, "this control host is not the leader");
    }
  }

  private void tick() {
    List<GroupRun> runsToAdvance;
    synchronized (lock) {
      if (!context.proposer().isLeader()) {
        groupRuns.clear();
        inFlightGrants.clear();
        wasLeader = false;
        return;
      }
      View view = context.view();
      boolean scanNeeded = view != scannedView || !wasLeader;
      if (scanNeeded) {
        scanView(view);
        scannedView = view;
        wasLeader = true;
      }
      startPendingFailovers(view);
      // A completed run has no next step until the view changes.
      runsToAdvance =
          groupRuns.values().stream().filter(run -> scanNeeded || !run.isCompleted()).toList();
    }
    runsToAdvance.forEach(GroupRun::advance);
  }

  /**
   * Creates a run for each group with a term, and records since when a group's primary is not
   * active.
   */
  private void scanView(View view) {
    groupRuns.keySet().removeIf(group -> view.group(group).isEmpty());
    for (GroupState group : view.groups().values()) {
      if (group.term() > 0) {
        groupRuns.computeIfAbsent(group.id(), id -> new GroupRun(id, context, group.term()));
      }
      boolean primaryInactive =
          group
              .primary()
              .flatMap(view::server)
              .map(ServerState::status)
              .filter(status -> status != ServerStatus.ACTIVE)
              .isPresent();
      if (primaryInactive) {
        inactiveSinceMillis.putIfAbsent(group.id(), context.clock().nowMillis());
      } else {
        inactiveSinceMillis.remove(group.id());
      }
    }
  }

  private void startPendingFailovers(View view) {
    List<FailoverQueue.PendingFailover> pending = new ArrayList<>();
    long nowMillis = context.clock().nowMillis();
    for (GroupId group : quorum.suspectedGroups()) {
      context
          .record(group)
          .filter(record -> mayStart(record, nowMillis))
          .filter(record -> majoritySuspects(record, view, nowMillis))
          .ifPresent(
              record ->
                  pending.add(
                      pendingFailover(
                          record,
                          FailoverKind.FAILURE,
                          quorum.earliestSuspicionMillis(group, nowMillis))));
    }
    inactiveSinceMillis.forEach(
        (group, sinceMillis) ->
            context
                .record(group)
                .filter(record -> mayStart(record, nowMillis))
                .ifPresent(
                    record -> pending.add(pendingFailover(record, kindOf(record), sinceMillis))));
    if (pending.isEmpty()) {
      return;
    }
    int running = (int) groupRuns.values().stream().filter(run -> !run.isSteady()).count();
    for (FailoverQueue.PendingFailover next :
        queue.selectToStart(pending, running + inFlightGrants.size())) {
      startFailover(next, nowMillis);
    }
  }

  private boolean mayStart(FailoverRecord record, long nowMillis) {
    return record.phase() == FailoverPhase.STEADY
        && record.previousPrimary().isPresent()
        && !inFlightGrants.containsKey(record.group())
        && context
                .backoff()
                .waitMillis(record.grantedAtMillis(), context.proposer().wallClockMillis())
            == 0;
  }

  private boolean majoritySuspects(FailoverRecord record, View view, long nowMillis) {
    List<HostId> watchers = watcherAssignment.watchers(record.group(), view.hosts().values());
    return quorum.countVotes(record, watchers, nowMillis) == Verdict.AGREED;
  }

  /**
   * Returns {@link FailoverKind#PLANNED} if the primary announced that it leaves, as it still
   * serves; a primary whose lease has expired may have failed.
   */
  private FailoverKind kindOf(FailoverRecord record) {
    boolean leaving =
        record
            .previousPrimary()
            .flatMap(context.view()::server)
            .filter(server -> server.status() == ServerStatus.LEAVING)
            .isPresent();
    return leaving ? FailoverKind.PLANNED : FailoverKind.FAILURE;
  }

  private FailoverQueue.PendingFailover pendingFailover(
      FailoverRecord record, FailoverKind kind, long sinceMillis) {
    long fromMillis = context.proposer().wallClockMillis() - options.flapWindowMillis();
    int recentFailovers =
        (int)
            record.grantedAtMillis().stream()
                .filter(grantMillis -> grantMillis > fromMillis)
                .count();
    return new FailoverQueue.PendingFailover(record, kind, sinceMillis, recentFailovers);
  }

  private void startFailover(FailoverQueue.PendingFailover next, long nowMillis) {
    GroupId group = next.record().group();
    context.notifyMilestone(group, next.record().term() + 1, Milestone.AGREED);
    inFlightGrants.put(group, next.record().term() + 1);
    log.info(
        "event=failover-start group={} term={} kind={} waited_millis={}",
        group,
        next.record().term() + 1,
        next.kind(),
        nowMillis - next.sinceMillis());
    proposeGrant(next.record(), next.kind())
        .whenComplete(
            (accepted, failure) ->
                context.execute(
                    () -> {
                      synchronized (lock) {
                        inFlightGrants.remove(group);
                      }
                      tick();
                    }));
  }

  private CompletableFuture<Boolean> proposeGrant(FailoverRecord record, FailoverKind kind) {
    FailoverStep.Grant grant =
        new FailoverStep.Grant(
            record.term(),
            record.term() + 1,
            kind,
            FailoverTable.members(record.group(), context.view()),
            context.proposer().wallClockMillis());
    return context
        .proposer()
        .propose(record.group(), grant)
        .thenApply(
            reply -> {
              if (!reply.getAccepted()) {
                throw AlderyardException.notRun(
                    ErrorCode.OVERLOADED,
                    "the control log refused the grant: " + reply.getReason(),
                    options.flapBaseMillis());
              }
              context.notifyMilestone(record.group(), grant.term(), Milestone.GRANTED);
              context.execute(this::tick);
              return true;
            });
  }

  @Override
  public void close() {
    synchronized (lock) {
      tickTimer.ifPresent(RepeatedTask::cancel);
    }
  }
}
