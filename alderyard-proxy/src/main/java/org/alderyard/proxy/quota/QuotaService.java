package org.alderyard.proxy.quota;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.Timer;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.OrganisationQuota;
import org.alderyard.common.view.OrganisationState;
import org.alderyard.common.view.View;
import org.alderyard.protocol.data.DataMethods;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;
import org.alderyard.protocol.generated.quota.TakeQuotaRequest;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.proxy.view.LeasedView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Limits the operations that callers of this host begin, and counts those of other hosts. */
public final class QuotaService implements OrganisationLimiter {
  private static final Logger log = LoggerFactory.getLogger(QuotaService.class);

  /** Time after the first view in which a host may begin its part of the start operations. */
  private static final long START_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final HostState self;
  private final MonotonicClock clock;
  private final CounterView counters;
  private final QuotaCounter counter;
  private final CounterClient client;
  private final Map<String, HeldOperations> held = new ConcurrentHashMap<>();
  private final CounterOrder order;
  private final Counter decisions;
  private final QuotaTolerance tolerance;
  private final LimitShares shares;
  private final Map<String, OrganisationDemand> demand = new ConcurrentHashMap<>();
  private final Timer timer;
  private final long startNanos;
  private volatile Optional<Long> firstViewNanos = Optional.empty();

  /**
   * Creates a service.
   *
   * @param timer begins operations that have reserved a token
   * @param viewConfirmed whether the control hosts have recently confirmed this host's view
   * @param tolerance how far a limit may be exceeded in a window
   * @param division how limits are divided among counters, the same on all hosts
   */
  public QuotaService(
      HostState self,
      Supplier<View> views,
      PeerLinks links,
      MonotonicClock clock,
      Timer timer,
      BooleanSupplier viewConfirmed,
      QuotaTolerance tolerance,
      QuotaCounters division,
      PrometheusRegistry registry) {
    this(
        self,
        views,
        (host, request, timeout) ->
            links.linkTo(host.innerAddress()).call(DataMethods.TAKE_QUOTA, request, timeout),
        clock,
        timer,
        viewConfirmed,
        tolerance,
        division,
        registry);
  }

  QuotaService(
      HostState self,
      Supplier<View> views,
      CounterClient remote,
      MonotonicClock clock,
      Timer timer,
      BooleanSupplier viewConfirmed,
      QuotaTolerance tolerance,
      QuotaCounters division,
      PrometheusRegistry registry) {
    this.self = self;
    this.clock = clock;
    this.timer = timer;
    startNanos = clock.nowNanos();
    this.tolerance = tolerance;
    order = new CounterOrder(self, clock);
    shares = division.shares(tolerance);
    counters = new CounterView(self, clock, shares);
    counter =
        new QuotaCounter(
            LeasedView.Source.of(views, viewConfirmed),
            counters,
            new QuotaLedger(tolerance, shares),
            shares,
            clock);
    client =
        (host, request, timeout) ->
            (host.id().equals(self.id())
                    ? CompletableFuture.completedFuture(counter.take(request))
                    : remote.take(host, request, timeout))
                .whenComplete(
                    (reply, failure) ->
                        recordReply(request.getOrganisation(), host, Optional.ofNullable(reply)));
    decisions =
        Counter.builder()
            .name("alderyard_operations")
            .help("Operations of organisations by the decision of their quota.")
            .labelNames("decision")
            .register(registry);
  }

  /** Records a new view. Must be called for each view, in order. */
  public void onViewChange(View view) {
    boolean first = firstViewNanos.isEmpty();
    if (first) {
      firstViewNanos = Optional.of(clock.nowNanos());
    }
    counters.update(view);
    counter.onViewChange();
    if (first && shares.countsBeforeBegin()) {
      observeConfirmation();
    }
  }

  private void observeConfirmation() {
    counter.observeConfirmation();
    timer.schedule(Duration.ofNanos(ConfirmationGap.OBSERVATION_NANOS), this::observeConfirmation);
  }

  /** Serves the requests of other hosts. */
  public void serve(Dispatcher dispatcher) {
    dispatcher.serveOnNetworkThread(
        DataMethods.TAKE_QUOTA,
        (peer, request) -> CompletableFuture.completedFuture(counter.take(request)));
  }

  /** Stops to count operations, before this host leaves. */
  public void stopCounting() {
    counter.stop();
  }

  QuotaCounter counter() {
    return counter;
  }

  private void recordReply(String organisation, HostState host, Optional<TakeQuotaReply> reply) {
    long now = clock.nowNanos();
    order.recordReply(host, reply.isEmpty());
    Optional.ofNullable(demand.get(organisation))
        .ifPresent(
            known ->
                reply.ifPresentOrElse(
                    received -> known.replied(host, received, now), () -> known.silent(host, now)));
  }

  @Override
  public CompletableFuture<QuotaDecision> begin(OrganisationState organisation, int maxWaitMillis) {
    if (organisation.quota().isEmpty()) {
      return CompletableFuture.completedFuture(QuotaDecision.ADMITTED);
    }
    HeldOperations operations =
        held.computeIfAbsent(organisation.name(), name -> newOperations(organisation));
    if (shares.countsBeforeBegin()) {
      return beginCounted(organisation, operations);
    }
    CompletableFuture<QuotaDecision> decision = operations.begin(maxWaitMillis, clock.nowNanos());
    requestOperations(organisation, operations);
    return decision.thenApply(made -> record(organisation, made));
  }

  /** Begins an operation once it is counted, or refuses it at once. */
  private CompletableFuture<QuotaDecision> beginCounted(
      OrganisationState organisation, HeldOperations operations) {
    OrganisationQuota quota = organisation.quota().orElseThrow();
    OrganisationDemand known =
        demand.computeIfAbsent(organisation.name(), name -> new OrganisationDemand(quota));
    if (known.limitChanged(quota)) {
      operations.limitChanged();
    }
    CompletableFuture<QuotaDecision> decision = operations.begin(0, clock.nowNanos());
    requestCounted(organisation, operations, known);
    return decision.thenApply(made -> record(organisation, known.spread(made, clock.nowNanos())));
  }

  private void requestCounted(
      OrganisationState organisation, HeldOperations operations, OrganisationDemand known) {
    List<HostState> all =
        counters.countersOf(organisation.name(), organisation.quota().orElseThrow());
    List<HostState> candidates = known.candidates(order.nearestFirst(all), clock.nowNanos());
    boolean ahead = !candidates.isEmpty() && known.plentiful(candidates.get(0));
    Optional<HeldOperations.Request> request =
        operations.beginCountedRequest(ahead, clock.nowNanos());
    if (request.isEmpty()) {
      return;
    }
    TakeQuotaRequest message =
        TakeQuotaRequest.newBuilder()
            .setOrganisation(organisation.name())
            .setOperations(request.get().operations())
            .build();
    new QuotaRequest(client, clock, message, 0, shares.maxRetryMillis(), candidates)
        .run()
        .thenAccept(
            result -> {
              QuotaDecision decision = known.refusal(result.decision(), all, clock.nowNanos());
              complete(operations, result.withDecision(decision));
              if (result.operations() > 0) {
                requestCounted(organisation, operations, known);
              }
            });
  }

  private QuotaDecision record(OrganisationState organisation, QuotaDecision decision) {
    decisions.labelValues(decision.verdict().name()).inc();
    if (decision.verdict() != QuotaDecision.Verdict.ADMITTED) {
      log.info(
          "event=operation-refused organisation={} reason={} rate-per-second={} burst={}"
              + " counters={} retry-after-millis={} outcome=NOT_RUN",
          organisation.name(),
          decision.verdict(),
          organisation.quota().orElseThrow().ratePerSecond(),
          organisation.quota().orElseThrow().burst(),
          counters.countersOf(organisation.name(), organisation.quota().orElseThrow()).size(),
          decision.retryAfterMillis());
    }
    return decision;
  }

  /**
   * Returns the state of an organisation without operations so far. Shortly after the start of this
   * host, when counters may be slow to reply, some operations may begin before they are counted.
   */
  private HeldOperations newOperations(OrganisationState organisation) {
    long now = clock.nowNanos();
    long startEndNanos = firstViewNanos.map(first -> first + START_PERIOD_NANOS).orElse(now);
    if (shares.countsBeforeBegin() || startEndNanos - now <= 0) {
      return new HeldOperations(0, now);
    }
    OrganisationQuota quota = organisation.quota().orElseThrow();
    double uncounted = tolerance.startOperations(quota);
    // What has accrued since the start of this process, in which no host began an operation.
    double accrued =
        Math.min(
            quota.burst(),
            quota.ratePerSecond() * (now - startNanos) / (double) TimeUnit.SECONDS.toNanos(1));
    int ownUncounted = counters.partOf(uncounted, organisation.name());
    int ownTotal = counters.partOf(uncounted + accrued, organisation.name());
    return new HeldOperations(ownUncounted, ownTotal > ownUncounted ? startEndNanos : now);
  }

  private void requestOperations(OrganisationState organisation, HeldOperations operations) {
    Optional<HeldOperations.Request> request = operations.beginRequest();
    if (request.isEmpty()) {
      return;
    }
    TakeQuotaRequest message =
        TakeQuotaRequest.newBuilder()
            .setOrganisation(organisation.name())
            .setOperations(request.get().operations())
            .setBegun(request.get().begun())
            .build();
    List<HostState> candidates =
        order.nearestFirst(
            counters.countersOf(organisation.name(), organisation.quota().orElseThrow()));
    int maxWaitMillis = request.get().maxWaitMillis();
    new QuotaRequest(client, clock, message, maxWaitMillis, shares.maxRetryMillis(), candidates)
        .run()
        .thenAccept(
            result -> {
              recordCounted(operations, request.get(), result);
              complete(operations, result);
              if (result.counter().isPresent()) {
                requestOperations(organisation, operations);
              }
            });
  }

  /** Only a counter of this availability zone keeps tokens for the hosts of the zone. */
  private void recordCounted(
      HeldOperations operations, HeldOperations.Request request, QuotaRequest.Result result) {
    result
        .counter()
        .ifPresent(
            counter ->
                operations.counted(
                    request,
                    result.plentiful() && counter.zone().equals(self.zone()),
                    result.sentNanos()));
  }

  private void complete(HeldOperations operations, QuotaRequest.Result result) {
    long now = clock.nowNanos();
    QuotaDecision decision = result.decision();
    if (result.beginsInMillis() > 0) {
      operations
          .reserved(result.sentNanos(), now)
          .ifPresent(waiting -> beginLater(waiting, result.beginsInMillis(), now));
      return;
    }
    List<CompletableFuture<QuotaDecision>> completed =
        decision.verdict() == QuotaDecision.Verdict.ADMITTED
            ? operations.granted(result.operations(), result.sentNanos(), now)
            : operations.refused(decision, now);
    completed.forEach(waiting -> waiting.complete(decision));
  }

  /**
   * Begins an operation at the time of its reserved token. If this host was stopped meanwhile, all
   * its reservations are due at once, and those that are long past are dropped.
   */
  private void beginLater(
      CompletableFuture<QuotaDecision> waiting, int delayMillis, long reservedNanos) {
    long dueNanos = reservedNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    timer.schedule(
        Duration.ofMillis(delayMillis),
        () -> {
          boolean late = clock.nowNanos() - dueNanos >= HeldOperations.HOLD_NANOS;
          waiting.complete(late ? QuotaDecision.overLimit(delayMillis) : QuotaDecision.ADMITTED);
        });
  }
}
