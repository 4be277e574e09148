package org.alderyard.proxy.callersession;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.generated.control.ServerReads;
import org.alderyard.protocol.health.ReadReportLimits;
import org.alderyard.proxy.serverhealth.GroupHealth;
import org.alderyard.proxy.serverhealth.HealthOptions;
import org.alderyard.proxy.serverhealth.ReadReport;
import org.alderyard.proxy.view.HeartbeatExtension;

/**
 * Reports this host's observations of servers with its heartbeats, and applies those of the other
 * hosts, which the replies hold.
 *
 * <p>The observations of a heartbeat that fails are lost. Thread-safe; the instance monitor is a
 * leaf lock.
 */
final class HealthExchange implements HeartbeatExtension {
  private final Supplier<Collection<GroupRouting>> routings;
  private final MonotonicClock clock;
  // Guarded by this.
  private boolean exchanged;
  private long exchangedNanos;

  HealthExchange(Supplier<Collection<GroupRouting>> routings, MonotonicClock clock) {
    this.routings = routings;
    this.clock = clock;
  }

  /** Starts to log decisions about servers, and returns the exchange if hosts share theirs. */
  static HeartbeatExtension start(SessionContext context, HealthOptions options) {
    if (options.enabled()) {
      new HealthLog(context).start();
    }
    return options.shared()
        ? new HealthExchange(context.routings()::all, context.clock())
        : HeartbeatExtension.NONE;
  }

  @Override
  public void addTo(HeartbeatRequest.Builder request) {
    if (!takeTurn(clock.nowNanos())) {
      return;
    }
    List<ServerReads> reads = new ArrayList<>();
    for (GroupRouting routing : routings.get()) {
      routing.queryHealth(GroupHealth::takeReports).stream()
          .map(HealthExchange::message)
          .forEach(reads::add);
    }
    request
        .setWantsReads(true)
        .addAllReads(ReadReportLimits.bounded(reads, ReadReportLimits.MAX_REPORTED_SERVERS));
  }

  /** Returns whether enough time has passed since the last exchange. */
  private synchronized boolean takeTurn(long nowNanos) {
    if (exchanged && nowNanos - exchangedNanos < ReadReportLimits.MIN_EXCHANGE_NANOS) {
      return false;
    }
    exchanged = true;
    exchangedNanos = nowNanos;
    return true;
  }

  @Override
  public void onReply(HeartbeatReply reply) {
    if (!reply.getHasReads()) {
      return;
    }
    Map<Integer, ReadReport> reports = new HashMap<>();
    reply.getReadsList().forEach(reads -> reports.put(reads.getServer(), report(reads)));
    long nowNanos = clock.nowNanos();
    routings.get().forEach(routing -> routing.applyReports(reports, nowNanos));
  }

  private static ServerReads message(ReadReport report) {
    return ServerReads.newBuilder()
        .setServer(report.server())
        .setAnswered(report.answered())
        .setFailed(report.failed())
        .setRefused(report.refused())
        .setMeanMicros(report.meanMicros())
        .build();
  }

  private static ReadReport report(ServerReads reads) {
    return new ReadReport(
        reads.getServer(),
        reads.getAnswered(),
        reads.getFailed(),
        reads.getRefused(),
        reads.getMeanMicros(),
        reads.getColdRemainingMillis());
  }
}
