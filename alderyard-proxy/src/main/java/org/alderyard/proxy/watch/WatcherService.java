package org.alderyard.proxy.watch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.RepeatedTask;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.View;
import org.alderyard.common.watch.WatcherAssignment;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.failover.FailoverMethods;
import org.alderyard.protocol.generated.failover.WatchReport;
import org.alderyard.protocol.generated.failover.WatchedPrimary;
import org.alderyard.proxy.view.ViewHolder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Probes the primaries that are assigned to this host and reports suspected ones. Thread-safe. */
public final class WatcherService implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(WatcherService.class);
  private static final Duration TICK = Duration.ofMillis(20);
  private static final long PAUSE_TOLERANCE_MILLIS = 150;
  private static final long REPORT_INTERVAL_MILLIS = 500;
  private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

  private final HostId self;
  private final ViewHolder views;
  private final ServerAdmin admin;
  private final ControlClient control;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  private final WatchOptions options;
  private final WatcherAssignment assignment = new WatcherAssignment();
  // All guarded by lock.
  private final Object lock = new Object();
  private final Map<GroupId, PrimaryWatch> watches = new HashMap<>();
  private final PauseDetector pauseDetector;
  private View assignedView = View.EMPTY;
  private Map<GroupId, String> reported = Map.of();
  private long nextReportMillis;
  private Optional<RepeatedTask> timer = Optional.empty();

  /** Creates a service that sends no probes until {@link #start()}. */
  public WatcherService(
      HostId self,
      ViewHolder views,
      ServerAdmin admin,
      ControlClient control,
      WorkerPool workers,
      MonotonicClock clock,
      WatchOptions options) {
    this.self = self;
    this.views = views;
    this.admin = admin;
    this.control = control;
    this.workers = workers;
    this.clock = clock;
    this.options = options;
    this.pauseDetector =
        new PauseDetector(TICK.toMillis(), PAUSE_TOLERANCE_MILLIS, clock.nowMillis());
  }

  /** Starts the periodic probes and reports. */
  public void start() {
    synchronized (lock) {
      timer = Optional.of(workers.scheduleRepeatedly(TICK, this::tick));
    }
  }

  /**
   * Reports a failed request of a caller. If this host watches the server as a primary, its next
   * probe becomes due immediately.
   */
  public void requestFailed(GroupId group, ServerId server) {
    synchronized (lock) {
      PrimaryWatch watch = watches.get(group);
      if (watch != null && watch.primary().equals(server)) {
        watch.requestFailed(clock.nowMillis());
      }
    }
  }

  private void tick() {
    List<PrimaryWatch> due = new ArrayList<>();
    long nowMillis = clock.nowMillis();
    View view = views.current();
    synchronized (lock) {
      if (pauseDetector.recordTick(nowMillis)) {
        log.warn("event=watcher-paused reason=\"this process stood still\"");
        watches.values().forEach(watch -> watch.resetAfterPause(nowMillis));
      }
      if (view != assignedView) {
        assign(view, nowMillis);
        assignedView = view;
      }
      long intervalMillis = options.probeMillis(watches.size());
      for (PrimaryWatch watch : watches.values()) {
        if (watch.tryStartProbe(nowMillis, intervalMillis)) {
          due.add(watch);
        }
      }
    }
    due.forEach(watch -> probe(watch, view, nowMillis));
    report(nowMillis);
  }

  private void assign(View view, long nowMillis) {
    watches.keySet().removeIf(group -> view.group(group).isEmpty());
    for (GroupState group : view.groups().values()) {
      boolean watchedHere =
          group.primary().isPresent() && assignment.isWatcher(self, group.id(), view.hosts());
      PrimaryWatch existing = watches.get(group.id());
      if (!watchedHere) {
        watches.remove(group.id());
      } else if (existing == null
          || existing.term() != group.term()
          || !existing.primary().equals(group.primary().get())) {
        watches.put(
            group.id(),
            new PrimaryWatch(group.id(), group.term(), group.primary().get(), options, nowMillis));
      }
    }
  }

  private void probe(PrimaryWatch watch, View view, long sentMillis) {
    Optional<ServerState> server = view.server(watch.primary());
    if (server.isEmpty()) {
      synchronized (lock) {
        watch.recordFailure(sentMillis, clock.nowMillis());
      }
      return;
    }
    admin
        .state(server.get().address(), Duration.ofMillis(options.probeTimeoutMillis()))
        .whenComplete((report, failure) -> recordResult(watch, sentMillis, report, failure));
  }

  private void recordResult(
      PrimaryWatch watch, long sentMillis, ServerReport report, Throwable failure) {
    long nowMillis = clock.nowMillis();
    synchronized (lock) {
      if (failure != null) {
        boolean timedOut =
            Futures.toAlderyardException(failure).code() == ErrorCode.DEADLINE_EXCEEDED;
        if (timedOut) {
          watch.recordTimeout(sentMillis, nowMillis);
        } else {
          watch.recordFailure(sentMillis, nowMillis);
        }
      } else if (report.server().equals(watch.primary())
          && report.term() == watch.term()
          && report.role() == ServerRole.PRIMARY) {
        watch.recordAnswer(sentMillis, nowMillis);
      } else {
        watch.recordRoleLost(sentMillis, nowMillis);
      }
    }
  }

  /**
   * Reports the suspected primaries: immediately after a change, otherwise periodically while there
   * are any.
   */
  private void report(long nowMillis) {
    Map<GroupId, String> suspected = new HashMap<>();
    WatchReport.Builder message = WatchReport.newBuilder();
    synchronized (lock) {
      for (PrimaryWatch watch : watches.values()) {
        watch
            .verdict(nowMillis)
            .suspicion()
            .ifPresent(
                reason -> {
                  suspected.put(watch.group(), watch.term() + "/" + reason);
                  message.addSuspected(watchedPrimary(watch, reason, nowMillis));
                });
      }
      boolean changed = !suspected.equals(reported);
      if (!changed && (suspected.isEmpty() || nowMillis < nextReportMillis)) {
        return;
      }
      reported = suspected;
      nextReportMillis = nowMillis + REPORT_INTERVAL_MILLIS;
    }
    log.info("event=watch-report suspected={}", suspected);
    control
        .callIdempotent(FailoverMethods.WATCH_REPORT, message.build(), REPORT_TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              if (failure != null) {
                scheduleResend(Futures.unwrap(failure));
              }
            });
  }

  private void scheduleResend(Throwable failure) {
    log.warn("event=watch-report-failed reason=\"{}\"", failure.toString());
    synchronized (lock) {
      nextReportMillis = clock.nowMillis() + TICK.toMillis();
    }
  }

  private static WatchedPrimary watchedPrimary(
      PrimaryWatch watch, WatchVerdict.Reason reason, long nowMillis) {
    return WatchedPrimary.newBuilder()
        .setGroup(watch.group().value())
        .setTerm(watch.term())
        .setPrimary(watch.primary().value())
        .setSuspectedForMillis(
            (int) Math.min(Integer.MAX_VALUE, watch.suspectedForMillis(nowMillis)))
        .setReason(reason.name())
        .build();
  }

  @Override
  public void close() {
    synchronized (lock) {
      timer.ifPresent(RepeatedTask::cancel);
    }
  }
}
