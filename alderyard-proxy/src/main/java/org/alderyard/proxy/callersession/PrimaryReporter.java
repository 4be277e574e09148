package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.view.GroupState;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.PrimarySighting;
import org.alderyard.protocol.generated.control.ReportPrimariesRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports to the control leader whether the primaries that this host uses respond. */
public final class PrimaryReporter {
  private static final Logger log = LoggerFactory.getLogger(PrimaryReporter.class);

  /**
   * Interval of the checks. A failover waits for the reports, so that half of this interval adds to
   * its duration on average.
   */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /**
   * Interval of the reports while all primaries respond; it keeps the leader's information recent.
   */
  private static final long STEADY_STATE_REPORT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final Duration TIMEOUT = Duration.ofMillis(500);

  private final ControlClient control;
  private final HostId self;
  private final SessionContext context;
  private final SampleRefresher refresher;
  private long lastReportNanos;
  private boolean lastReportHadUnresponsive;
  // Prevents a second report while one is in flight, which would only slow the leader down.
  private final AtomicBoolean reportInFlight = new AtomicBoolean();

  PrimaryReporter(
      ControlClient control, HostId self, SessionContext context, SampleRefresher refresher) {
    this.control = control;
    this.self = self;
    this.context = context;
    this.refresher = refresher;
  }

  void start() {
    context.workers().scheduleRepeatedly(CHECK_INTERVAL, this::reportIfDue);
  }

  private void reportIfDue() {
    long now = context.clock().nowNanos();
    boolean anyUnresponsive = probeUnresponsive(now);
    boolean due =
        anyUnresponsive
            || lastReportHadUnresponsive
            || now - lastReportNanos >= STEADY_STATE_REPORT_NANOS;
    if (!due) {
      return;
    }
    ReportPrimariesRequest report = report(now);
    if (report.getSightingsCount() == 0 || !reportInFlight.compareAndSet(false, true)) {
      return;
    }
    lastReportHadUnresponsive = anyUnresponsive;
    lastReportNanos = now;
    control
        .callIdempotent(ControlMethods.REPORT_PRIMARIES, report, TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              reportInFlight.set(false);
              if (failure != null) {
                log.debug(
                    "event=report-failed reason={}", Futures.toAlderyardException(failure).code());
                return;
              }
              context
                  .routings()
                  .blockedPromotions()
                  .update(
                      reply.getBlockedGroupsList().stream().map(GroupId::new).toList(),
                      context.clock().nowNanos());
            });
  }

  /** Probes the primaries that do not respond; returns whether there are any. */
  private boolean probeUnresponsive(long nowNanos) {
    boolean any = false;
    for (GroupState group : context.views().current().groups().values()) {
      Optional<GroupRouting.ObservedPrimary> primary = observed(group, nowNanos);
      if (primary.isPresent() && primary.get().unresponsiveMillis() > 0) {
        any = true;
        refresher.probePrimary(group, nowNanos);
      }
    }
    return any;
  }

  private Optional<GroupRouting.ObservedPrimary> observed(GroupState group, long nowNanos) {
    return context.routings().of(group.id()).observedPrimary(group, nowNanos);
  }

  /** Returns a report of the primaries that this host has used recently. */
  private ReportPrimariesRequest report(long nowNanos) {
    ReportPrimariesRequest.Builder report =
        ReportPrimariesRequest.newBuilder().setHost(self.value());
    for (GroupState group : context.views().current().groups().values()) {
      observed(group, nowNanos)
          .ifPresent(
              primary ->
                  report.addSightings(
                      PrimarySighting.newBuilder()
                          .setGroup(group.id().value())
                          .setServer(primary.server().value())
                          .setSilentMillis((int) primary.unresponsiveMillis())));
    }
    return report.build();
  }
}
