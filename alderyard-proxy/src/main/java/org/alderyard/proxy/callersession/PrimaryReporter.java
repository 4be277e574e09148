package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
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
    Map<GroupId, GroupRouting.ObservedPrimary> observed = observe(now);
    boolean anyUnresponsive =
        observed.values().stream().anyMatch(primary -> primary.unresponsiveMillis() > 0);
    boolean due =
        anyUnresponsive
            || lastReportHadUnresponsive
            || now - lastReportNanos >= STEADY_STATE_REPORT_NANOS;
    if (!due || observed.isEmpty() || !reportInFlight.compareAndSet(false, true)) {
      return;
    }
    lastReportHadUnresponsive = anyUnresponsive;
    lastReportNanos = now;
    control
        .callIdempotent(ControlMethods.REPORT_PRIMARIES, report(observed), TIMEOUT)
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

  /**
   * Returns the primaries that this host has used recently, and probes those without a response.
   */
  private Map<GroupId, GroupRouting.ObservedPrimary> observe(long nowNanos) {
    Map<GroupId, GroupRouting.ObservedPrimary> observed = new LinkedHashMap<>();
    for (GroupState group : context.views().current().groups().values()) {
      context
          .routings()
          .of(group.id())
          .observedPrimary(group, nowNanos)
          .ifPresent(
              primary -> {
                observed.put(group.id(), primary);
                if (primary.unresponsiveMillis() > 0) {
                  refresher.probePrimary(group, nowNanos);
                }
              });
    }
    return observed;
  }

  private ReportPrimariesRequest report(Map<GroupId, GroupRouting.ObservedPrimary> observed) {
    ReportPrimariesRequest.Builder report =
        ReportPrimariesRequest.newBuilder().setHost(self.value());
    observed.forEach(
        (group, primary) ->
            report.addSightings(
                PrimarySighting.newBuilder()
                    .setGroup(group.value())
                    .setServer(primary.server().value())
                    .setSilentMillis((int) primary.unresponsiveMillis())));
    return report.build();
  }
}
