package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.id.HostId;
import org.alderyard.common.view.GroupState;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.PrimarySighting;
import org.alderyard.protocol.generated.control.ReportPrimariesRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells the control leader what this host sees of the primaries that it works with. */
public final class PrimaryReporter {
  private static final Logger log = LoggerFactory.getLogger(PrimaryReporter.class);

  /** A failover waits for reports; this pace adds half of it. */
  private static final Duration TICK = Duration.ofMillis(100);

  /** While all primaries answer, one report in this time keeps the leader's picture fresh. */
  private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final Duration TIMEOUT = Duration.ofMillis(500);

  private final ControlClient control;
  private final HostId self;
  private final SessionParts parts;
  private final SampleRefresher refresher;
  private long lastNanos;
  private boolean troubled;
  // A second report on top of one without an answer would only slow the leader down.
  private final AtomicBoolean underWay = new AtomicBoolean();

  PrimaryReporter(
      ControlClient control, HostId self, SessionParts parts, SampleRefresher refresher) {
    this.control = control;
    this.self = self;
    this.parts = parts;
    this.refresher = refresher;
  }

  void start() {
    parts.workers().scheduleRepeatedly(TICK, this::tick);
  }

  private void tick() {
    long now = parts.clock().nowNanos();
    ReportPrimariesRequest.Builder report =
        ReportPrimariesRequest.newBuilder().setHost(self.value());
    boolean silent = false;
    for (GroupState group : parts.views().current().groups().values()) {
      GroupRouting routing = parts.routings().of(group.id());
      var sight = routing.primarySight(group, now);
      if (sight.isEmpty()) {
        continue;
      }
      if (sight.get().silentMillis() > 0) {
        silent = true;
        refresher.askAgain(group, now);
      }
      report.addSightings(
          PrimarySighting.newBuilder()
              .setGroup(group.id().value())
              .setServer(sight.get().server().value())
              .setSilentMillis((int) sight.get().silentMillis()));
    }
    boolean due = silent || troubled || now - lastNanos >= CALM_NANOS;
    if (!due || report.getSightingsCount() == 0 || !underWay.compareAndSet(false, true)) {
      return;
    }
    troubled = silent;
    lastNanos = now;
    control
        .callIdempotent(ControlMethods.REPORT_PRIMARIES, report.build(), TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              underWay.set(false);
              if (failure != null) {
                log.debug("event=report-failed reason={}", Futures.typed(failure).code());
              }
            });
  }
}
