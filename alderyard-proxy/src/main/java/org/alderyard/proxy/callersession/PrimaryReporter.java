package org.alderyard.proxy.callersession;

import java.time.Duration;
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
    ReportPrimariesRequest.Builder report =
        ReportPrimariesRequest.newBuilder().setHost(self.value());
    boolean anyUnresponsive = false;
    for (GroupState group : context.views().current().groups().values()) {
      GroupRouting routing = context.routings().of(group.id());
      var observed = routing.observedPrimary(group, now);
      if (observed.isEmpty()) {
        continue;
      }
      if (observed.get().unresponsiveMillis() > 0) {
        anyUnresponsive = true;
        refresher.probePrimary(group, now);
      }
      report.addSightings(
          PrimarySighting.newBuilder()
              .setGroup(group.id().value())
              .setServer(observed.get().server().value())
              .setSilentMillis((int) observed.get().unresponsiveMillis()));
    }
    boolean due =
        anyUnresponsive
            || lastReportHadUnresponsive
            || now - lastReportNanos >= STEADY_STATE_REPORT_NANOS;
    if (!due || report.getSightingsCount() == 0 || !reportInFlight.compareAndSet(false, true)) {
      return;
    }
    lastReportHadUnresponsive = anyUnresponsive;
    lastReportNanos = now;
    control
        .callIdempotent(ControlMethods.REPORT_PRIMARIES, report.build(), TIMEOUT)
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
}
