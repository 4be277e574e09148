package org.alderyard.proxy.quota;

import java.util.List;
import java.util.OptionalInt;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.OrganisationQuota;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;

/**
 * What this host knows of the counters of one organisation, and when its refused callers return.
 * Thread-safe.
 */
final class OrganisationDemand {
  /** Shorter waits would cost more requests than the operations that they bring. */
  private static final int MIN_RETRY_MILLIS = 10;

  private final CounterLevels levels = new CounterLevels();
  private final TokenRetrySpread spread = new TokenRetrySpread();
  private volatile OrganisationQuota quota;

  OrganisationDemand(OrganisationQuota quota) {
    this.quota = quota;
  }

  /** Records the current limit; returns whether it has changed, so that old refusals are void. */
  boolean limitChanged(OrganisationQuota current) {
    if (current.equals(quota)) {
      return false;
    }
    quota = current;
    levels.limitChanged();
    return true;
  }

  void replied(HostState counter, TakeQuotaReply reply, long nowNanos) {
    levels.replied(counter, reply, nowNanos);
  }

  void silent(HostState counter, long nowNanos) {
    levels.silent(counter, nowNanos);
  }

  /** Returns the counters to ask; empty if all are known to be exhausted. */
  List<HostState> candidates(List<HostState> nearestFirst, long nowNanos) {
    return levels.candidates(nearestFirst, nowNanos);
  }

  /** Returns whether a counter had enough tokens for operations that are only expected. */
  boolean plentiful(HostState counter) {
    return levels.plentiful(counter);
  }

  /** Returns a refusal with the time at which the first of the counters has a token. */
  QuotaDecision refusal(QuotaDecision decision, List<HostState> counters, long nowNanos) {
    if (decision.verdict() == QuotaDecision.Verdict.ADMITTED) {
      return decision;
    }
    OptionalInt untilToken = levels.millisUntilToken(counters, nowNanos);
    return untilToken.isPresent()
        ? QuotaDecision.overLimit(Math.max(MIN_RETRY_MILLIS, untilToken.getAsInt()))
        : decision;
  }

  /** Returns the decision for one caller, whose time to come back differs from that of others. */
  QuotaDecision spread(QuotaDecision decision, long nowNanos) {
    if (decision.verdict() != QuotaDecision.Verdict.OVER_LIMIT) {
      return decision;
    }
    return QuotaDecision.overLimit(
        spread.next(decision.retryAfterMillis(), quota.ratePerSecond(), nowNanos));
  }
}
