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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Grants operations to other hosts, for the organisations that this host counts.
 *
 * <p>A host whose view is not confirmed may have a successor and grants nothing. Only shortly after
 * its first view it grants without a confirmation, as all hosts wait for each other after a common
 * restart. With {@link QuotaCounters#DEMAND}, a confirmation is always required. Thread-safe. The
 * locks of the view's counters and of the ledger are acquired while that of the confirmation gap is
 * held.
 */
final class QuotaCounter {
  private static final Logger log = LoggerFactory.getLogger(QuotaCounter.class);

  private static final TakeQuotaReply NOT_COUNTED =
      TakeQuotaReply.newBuilder().setVerdict(Verdict.NOT_OWNER).build();

  /** Time after the first view in which a confirmation is not required. */
  private static final long START_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final LeasedView.Source views;
  private final CounterView counters;
  private final QuotaLedger ledger;
  private final MonotonicClock clock;
  private final LimitShares shares;
  private final long startNanos;
  // Guarded by itself.
  private final ConfirmationGap gap = new ConfirmationGap();
  private volatile Optional<Long> firstViewNanos = Optional.empty();
  private volatile boolean stopped;

  QuotaCounter(
      LeasedView.Source views,
      CounterView counters,
      QuotaLedger ledger,
      LimitShares shares,
      MonotonicClock clock) {
    this.views = views;
    this.counters = counters;
    this.ledger = ledger;
    this.shares = shares;
    this.clock = clock;
    startNanos = clock.nowNanos();
  }

  /** Answers a request of another host. */
  TakeQuotaReply take(TakeQuotaRequest request) {
    LeasedView leased = views.read();
    observe(leased);
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
    if (!counters.mayGrant(request.getOrganisation(), quota.get())) {
      ledger.forget(request.getOrganisation());
      return NOT_COUNTED;
    }
    QuotaLedger.Grant grant =
        ledger.take(
            request.getOrganisation(),
            quota.get(),
            counters.countersOf(request.getOrganisation(), quota.get()).size(),
            counters.askingHosts(),
            request.getOperations(),
            request.getBegun(),
            Math.min(now, counters.countsSince(request.getOrganisation(), startNanos)),
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

  /** Records whether the view is confirmed. Must be called several times in each lease. */
  void observeConfirmation() {
    observe(views.read());
  }

  private void observe(LeasedView leased) {
    if (!shares.countsBeforeBegin() || !leased.leaseValid()) {
      return;
    }
    synchronized (gap) {
      if (gap.confirmed(leased.view().version(), clock.nowNanos())) {
        log.info("event=quota-counter-interrupted view-version={}", leased.view().version());
        counters.restartTenure();
        ledger.retain(organisation -> false);
      }
    }
  }

  /** Records that a view has arrived. */
  void onViewChange() {
    if (shares.countsBeforeBegin()) {
      ledger.retain(counters::counts);
    }
    if (firstViewNanos.isEmpty()) {
      firstViewNanos = Optional.of(clock.nowNanos());
      synchronized (gap) {
        gap.firstView(views.read().view().version(), clock.nowNanos());
      }
    }
  }

  private boolean isStarting(long nowNanos) {
    return !shares.countsBeforeBegin()
        && firstViewNanos.filter(first -> nowNanos - first < START_NANOS).isPresent();
  }

  /** Stops to grant, before this host leaves and another one takes over. */
  void stop() {
    stopped = true;
  }
}
