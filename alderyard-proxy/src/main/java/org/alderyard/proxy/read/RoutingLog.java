package org.alderyard.proxy.read;

import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;
import org.alderyard.proxy.freshness.ReadDemand;
import org.alderyard.proxy.routing.RoutingDecision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs routing decisions, or a sample of them with the number of skipped decisions. */
final class RoutingLog {
  private static final Logger log = LoggerFactory.getLogger(RoutingLog.class);

  private final int sample;
  private final AtomicLong skipped = new AtomicLong();

  RoutingLog(int sample) {
    this.sample = Math.max(1, sample);
  }

  /** Logs a decision unless the sample skips it. Refusals are always logged. */
  void write(PoolName pool, GroupId group, ReadDemand demand, RoutingDecision decision) {
    if (!decision.reason().refused() && skipped.incrementAndGet() < sample) {
      return;
    }
    log.info(
        "event=route kind=read pool={} group={} mode={} reason={} server={} seen={} waitMillis={}"
            + " eligible={} leftOut={}",
        pool,
        group,
        demand.mode(),
        decision.reason(),
        decision.server().map(server -> server.id().value()).orElse("none"),
        demand.requirement().position(),
        decision.waitNanos() / 1_000_000,
        decision.eligibleCount(),
        Math.max(0, skipped.getAndSet(0) - 1));
  }
}
