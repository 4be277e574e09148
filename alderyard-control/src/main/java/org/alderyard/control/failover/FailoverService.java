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
import java.util.concurrent.ScheduledFuture;
import java.util.function.Supplier;
import org.alderyard.backend.ServerAdmin;
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
 * Gathers suspicions and runs the failovers of all groups on the control host that leads.
 *
 * <p>A host that does not lead holds nothing: what a failover needs to go on is in the control log,
 * and the evidence is asked for again.
 */
public final class FailoverService implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(FailoverService.class);
  private static final Duration TICK = Duration.ofMillis(20);
  private static final int REPORT_MILLIS = 500;
  private static final long SUSPICION_AGE_MILLIS = 3L * REPORT_MILLIS;

  private final RunContext context;
  private final DirectorOptions options;
  private final FailoverQueue queue;
  private final WatcherAssignment assignment = new WatcherAssignment();
  // All guarded by lock; a run's own lock may be taken inside it, never the other way round.
  private final Object lock = new Object();
  private final SuspicionQuorum quorum = new SuspicionQuorum(SUSPICION_AGE_MILLIS);
  private final Map<GroupId, GroupRun> runs = new TreeMap<>();
  private final Map<GroupId, Long> handOversSinceMillis = new HashMap<>();
  private final Map<GroupId, Long> grantsInFlight = new HashMap<>();
  private View scanned = View.EMPTY;
  private boolean led;
  private Optional<ScheduledFuture<?>> ticking = Optional.empty();

  /** Creates a service that does nothing until it is started. */
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
    this.queue = new FailoverQueue(options.maxConcurrent());
    this.context =
        new RunContext(
            new Director(options),
            new FlapBackoff(options),
            table,
            views,
            new StepLog(controlLog, wallClock),
            admin,
            workers,
            clock,
            observer);
  }

  /** Adds the methods of this service. */
  public void serve(Dispatcher dispatcher) {
    dispatcher
        .serve(FailoverMethods.WATCH_REPORT, this::report)
        .serve(FailoverMethods.HAND_OVER, (peer, request) -> handOver(request));
  }

  /** Starts to run failovers whenever this host leads. */
  public void start() {
    synchronized (lock) {
      ticking = Optional.of(context.workers().scheduleRepeatedly(TICK, this::tick));
    }
  }

  private CompletableFuture<WatchReportReply> report(PeerIdentity peer, WatchReport report) {
    requireLeading();
    long nowMillis = context.clock().nowMillis();
    Map<GroupId, Suspicion> suspected = new HashMap<>();
    report
        .getSuspectedList()
        .forEach(
            one ->
                suspected.put(
                    new GroupId(one.getGroup()),
                    new Suspicion(
                        one.getTerm(),
                        new ServerId(one.getPrimary()),
                        nowMillis - one.getSuspectedForMillis(),
                        nowMillis)));
    synchronized (lock) {
      quorum.report(peer.host(), suspected);
    }
    if (!suspected.isEmpty()) {
      log.info("event=suspicion watcher={} groups={}", peer.host(), suspected.keySet());
      tick();
    }
    return CompletableFuture.completedFuture(
        WatchReportReply.newBuilder().setNextReportMillis(REPORT_MILLIS).build());
  }

  /** Starts a planned hand-over; the answer comes once it is granted or refused. */
  private CompletableFuture<HandOverReply> handOver(HandOverRequest request) {
    requireLeading();
    GroupId group = new GroupId(request.getGroup());
    FailoverRecord record =
        context
            .record(group)
            .orElseThrow(
                () ->
                    AlderyardException.notRun(
                        ErrorCode.NOT_FOUND, "no group '" + group + "' is known"));
    long waitMillis =
        context.backoff().waitMillis(record.grantedAtMillis(), context.steps().wallMillis());
    if (record.phase() != FailoverPhase.STEADY || waitMillis > 0) {
      throw AlderyardException.notRun(
          ErrorCode.OVERLOADED,
          "group " + group + " is in a failover, or had several within a short time",
          Math.max(waitMillis, options.flapBaseMillis()));
    }
    context.reached(group, record.term() + 1, Milestone.AGREED);
    return grant(record, FailoverKind.PLANNED)
        .thenApply(accepted -> HandOverReply.newBuilder().setTerm(record.term() + 1).build());
  }

  private void requireLeading() {
    if (!context.steps().leading()) {
      throw AlderyardException.notRun(ErrorCode.NOT_LEADER, "this control host does not lead");
    }
  }

  private void tick() {
    List<GroupRun> due;
    synchronized (lock) {
      if (!context.steps().leading()) {
        runs.clear();
        grantsInFlight.clear();
        led = false;
        return;
      }
      View view = context.view();
      boolean changed = view != scanned || !led;
      if (changed) {
        scan(view);
        scanned = view;
        led = true;
      }
      startWaiting(view);
      // A settled group has nothing to do until the view changes.
      due = runs.values().stream().filter(run -> changed || !run.settled()).toList();
    }
    due.forEach(GroupRun::advance);
  }

  /** Takes up every group that the view shows in need of a step. */
  private void scan(View view) {
    runs.keySet().removeIf(group -> view.group(group).isEmpty());
    for (GroupState group : view.groups().values()) {
      if (group.term() > 0) {
        runs.computeIfAbsent(group.id(), id -> new GroupRun(id, context, group.term()));
      }
      boolean leaves =
          group
              .primary()
              .flatMap(view::server)
              .map(ServerState::status)
              .filter(status -> status != ServerStatus.ACTIVE)
              .isPresent();
      if (leaves) {
        handOversSinceMillis.putIfAbsent(group.id(), context.clock().nowMillis());
      } else {
        handOversSinceMillis.remove(group.id());
      }
    }
  }

  private void startWaiting(View view) {
    List<FailoverQueue.Waiting> waiting = new ArrayList<>();
    long nowMillis = context.clock().nowMillis();
    for (GroupId group : quorum.groups()) {
      context
          .record(group)
          .filter(record -> mayStart(record, nowMillis))
          .filter(record -> agreed(record, view, nowMillis))
          .ifPresent(
              record ->
                  waiting.add(
                      waiting(record, FailoverKind.FAILURE, quorum.sinceMillis(group, nowMillis))));
    }
    handOversSinceMillis.forEach(
        (group, sinceMillis) ->
            context
                .record(group)
                .filter(record -> mayStart(record, nowMillis))
                .ifPresent(record -> waiting.add(waiting(record, kindOf(record), sinceMillis))));
    if (waiting.isEmpty()) {
      return;
    }
    int running = (int) runs.values().stream().filter(run -> !run.steady()).count();
    for (FailoverQueue.Waiting next : queue.start(waiting, running + grantsInFlight.size())) {
      launch(next, nowMillis);
    }
  }

  private boolean mayStart(FailoverRecord record, long nowMillis) {
    return record.phase() == FailoverPhase.STEADY
        && record.previousPrimary().isPresent()
        && !grantsInFlight.containsKey(record.group())
        && context.backoff().waitMillis(record.grantedAtMillis(), context.steps().wallMillis())
            == 0;
  }

  private boolean agreed(FailoverRecord record, View view, long nowMillis) {
    List<HostId> watchers = assignment.watchers(record.group(), view.hosts().values());
    return quorum.verdict(record, watchers, nowMillis) == Verdict.AGREED;
  }

  /** A primary that said that it leaves still works; one whose lease ran out may not. */
  private FailoverKind kindOf(FailoverRecord record) {
    boolean leaving =
        record
            .previousPrimary()
            .flatMap(context.view()::server)
            .filter(server -> server.status() == ServerStatus.LEAVING)
            .isPresent();
    return leaving ? FailoverKind.PLANNED : FailoverKind.FAILURE;
  }

  private FailoverQueue.Waiting waiting(FailoverRecord record, FailoverKind kind, long since) {
    long fromMillis = context.steps().wallMillis() - options.flapWindowMillis();
    int recent =
        (int) record.grantedAtMillis().stream().filter(granted -> granted > fromMillis).count();
    return new FailoverQueue.Waiting(record, kind, since, recent);
  }

  private void launch(FailoverQueue.Waiting next, long nowMillis) {
    GroupId group = next.record().group();
    context.reached(group, next.record().term() + 1, Milestone.AGREED);
    grantsInFlight.put(group, next.record().term() + 1);
    log.info(
        "event=failover-start group={} term={} kind={} waited_millis={}",
        group,
        next.record().term() + 1,
        next.kind(),
        nowMillis - next.sinceMillis());
    grant(next.record(), next.kind())
        .whenComplete(
            (accepted, failure) ->
                context.later(
                    () -> {
                      synchronized (lock) {
                        grantsInFlight.remove(group);
                      }
                      tick();
                    }));
  }

  private CompletableFuture<Boolean> grant(FailoverRecord record, FailoverKind kind) {
    FailoverStep.Grant grant =
        new FailoverStep.Grant(
            record.term(),
            record.term() + 1,
            kind,
            FailoverTable.members(record.group(), context.view()),
            context.steps().wallMillis());
    return context
        .steps()
        .propose(record.group(), grant)
        .thenApply(
            reply -> {
              if (!reply.getAccepted()) {
                throw AlderyardException.notRun(
                    ErrorCode.OVERLOADED,
                    "the grant was refused: " + reply.getReason(),
                    options.flapBaseMillis());
              }
              context.reached(record.group(), grant.term(), Milestone.GRANTED);
              context.later(this::tick);
              return true;
            });
  }

  @Override
  public void close() {
    synchronized (lock) {
      ticking.ifPresent(timer -> timer.cancel(false));
    }
  }
}
