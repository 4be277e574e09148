package org.alderyard.proxy.quota;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.OrganisationQuota;
import org.alderyard.common.view.OrganisationState;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;
import org.alderyard.protocol.generated.quota.TakeQuotaReply.Verdict;
import org.alderyard.protocol.generated.quota.TakeQuotaRequest;
import org.alderyard.proxy.view.LeasedView;

/**
 * Grants operations to other hosts, for the organisations that this host counts.
 *
 * <p>A host whose view is not confirmed may have a successor and grants nothing. Only shortly after
 * its first view it grants without a confirmation, as all hosts wait for each other after a common
 * restart. Thread-safe.
 */
final class QuotaCounter {
  private static final TakeQuotaReply NOT_COUNTED =
      TakeQuotaReply.newBuilder().setVerdict(Verdict.NOT_OWNER).build();

  /** Time after the first view in which a confirmation is not required. */
  private static final long START_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final LeasedView.Source views;
  private final CounterView counters;
  private final QuotaLedger ledger;
  private final MonotonicClock clock;
  private final long startNanos;
  private volatile Optional<Long> firstViewNanos = Optional.empty();
  private volatile boolean stopped;

  QuotaCounter(
      LeasedView.Source views, CounterView counters, QuotaLedger ledger, MonotonicClock clock) {
    this.views = views;
    this.counters = counters;
    this.ledger = ledger;
    this.clock = clock;
    startNanos = clock.nowNanos();
  }

  /** Answers a request of another host. */
  TakeQuotaReply take(TakeQuotaRequest request) {
    LeasedView leased = views.read();
    long now = clock.nowNanos();
    Optional<OrganisationQuota> quota =
        leased
            .view()
            .configuration()
            .flatMap(current -> current.organisations().byName(request.getOrganisation()))
            .flatMap(OrganisationState::quota);
    if (quota.isEmpty() || stopped || !(leased.leaseValid() || isStarting(now))) {
      return NOT_COUNTED;
    }
    if (!counters.mayGrant(request.getOrganisation())) {
      ledger.forget(request.getOrganisation());
      return NOT_COUNTED;
    }
    QuotaLedger.Grant grant =
        ledger.take(
            request.getOrganisation(),
            quota.get(),
            counters.countersOf(request.getOrganisation()).size(),
            counters.askingHosts(),
            request.getOperations(),
            request.getBegun(),
            Math.min(now, counters.countsSince(startNanos)),
            now);
    if (grant.operations() == 0 && request.getReserveWithinMillis() > 0) {
      grant =
          ledger
              .reserve(request.getOrganisation(), request.getReserveWithinMillis(), now)
              .orElse(grant);
    }
    return TakeQuotaReply.newBuilder()
        .setVerdict(
            grant.operations() > 0 || request.getOperations() == 0
                ? Verdict.GRANTED
                : Verdict.EXHAUSTED)
        .setPlentiful(grant.plentiful())
        .setOperations(grant.operations())
        .setRetryAfterMillis(grant.retryAfterMillis())
        .setBeginsInMillis(grant.beginsInMillis())
        .build();
  }

  /** Records that a view has arrived. */
  void onViewChange() {
    if (firstViewNanos.isEmpty()) {
      firstViewNanos = Optional.of(clock.nowNanos());
    }
  }

  private boolean isStarting(long nowNanos) {
    return firstViewNanos.filter(first -> nowNanos - first < START_NANOS).isPresent();
  }

  /** Stops to grant, before this host leaves and another one takes over. */
  void stop() {
    stopped = true;
  }
}
