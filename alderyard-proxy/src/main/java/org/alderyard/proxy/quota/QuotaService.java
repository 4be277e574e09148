package org.alderyard.proxy.quota;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.Timer;
import org.alderyard.common.id.HostId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.OrganisationQuota;
import org.alderyard.common.view.OrganisationState;
import org.alderyard.common.view.View;
import org.alderyard.protocol.data.DataMethods;
import org.alderyard.protocol.generated.quota.TakeQuotaRequest;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.proxy.view.LeasedView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Limits the operations that callers of this host begin, and counts those of other hosts. */
public final class QuotaService implements OrganisationLimiter {
  private static final Logger log = LoggerFactory.getLogger(QuotaService.class);

  /** How long a counter that did not reply is asked after the others. */
  private static final long SILENT_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time after the first view in which a host may begin its part of the start operations. */
  private static final long START_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final HostState self;
  private final MonotonicClock clock;
  private final CounterView counters;
  private final QuotaCounter counter;
  private final CounterClient client;
  private final Map<String, HeldOperations> held = new ConcurrentHashMap<>();
  private final Map<HostId, Long> silentSinceNanos = new ConcurrentHashMap<>();
  private final Counter decisions;
  private final QuotaTolerance tolerance;
  private final Timer timer;
  private final long startNanos;
  private volatile Optional<Long> firstViewNanos = Optional.empty();

  /**
   * Creates a service.
   *
   * @param timer begins operations that have reserved a token
   * @param viewConfirmed whether the control hosts have recently confirmed this host's view
   * @param tolerance how far a limit may be exceeded in a window
   */
  public QuotaService(
      HostState self,
      Supplier<View> views,
      PeerLinks links,
      MonotonicClock clock,
      Timer timer,
      BooleanSupplier viewConfirmed,
      QuotaTolerance tolerance,
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
      PrometheusRegistry registry) {
    this.self = self;
    this.clock = clock;
    this.timer = timer;
    startNanos = clock.nowNanos();
    this.tolerance = tolerance;
    counters = new CounterView(self, clock);
    counter =
        new QuotaCounter(
            LeasedView.Source.of(views, viewConfirmed),
            counters,
            new QuotaLedger(tolerance),
            clock);
    client =
        (host, request, timeout) ->
            host.id().equals(self.id())
                ? CompletableFuture.completedFuture(counter.take(request))
                : remote
                    .take(host, request, timeout)
                    .whenComplete((reply, failure) -> recordReply(host, failure != null));
    decisions =
        Counter.builder()
            .name("alderyard_operations")
            .help("Operations of organisations by the decision of their quota.")
            .labelNames("decision")
            .register(registry);
  }

  /** Records a new view. Must be called for each view, in order. */
  public void onViewChange(View view) {
    if (firstViewNanos.isEmpty()) {
      firstViewNanos = Optional.of(clock.nowNanos());
    }
    counters.update(view);
    counter.onViewChange();
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

  private void recordReply(HostState host, boolean silent) {
    if (silent) {
      silentSinceNanos.put(host.id(), clock.nowNanos());
    } else {
      silentSinceNanos.remove(host.id());
    }
  }

  @Override
  public CompletableFuture<QuotaDecision> begin(OrganisationState organisation, int maxWaitMillis) {
    if (organisation.quota().isEmpty()) {
      return CompletableFuture.completedFuture(QuotaDecision.ADMITTED);
    }
    HeldOperations operations =
        held.computeIfAbsent(organisation.name(), name -> newOperations(organisation));
    CompletableFuture<QuotaDecision> decision = operations.begin(maxWaitMillis, clock.nowNanos());
    requestOperations(organisation.name(), operations);
    return decision.thenApply(made -> record(organisation, made));
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
          counters.countersOf(organisation.name()).size(),
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
    if (startEndNanos - now <= 0) {
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

  private void requestOperations(String organisation, HeldOperations operations) {
    Optional<HeldOperations.Request> request = operations.beginRequest();
    if (request.isEmpty()) {
      return;
    }
    TakeQuotaRequest message =
        TakeQuotaRequest.newBuilder()
            .setOrganisation(organisation)
            .setOperations(request.get().operations())
            .setBegun(request.get().begun())
            .build();
    List<HostState> candidates = nearestFirst(counters.countersOf(organisation));
    new QuotaRequest(client, clock, message, request.get().maxWaitMillis(), candidates)
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

  /** Sorts counters: this host, then those in its availability zone; silent ones last. */
  private List<HostState> nearestFirst(List<HostState> all) {
    List<HostState> sorted = new ArrayList<>(all);
    sorted.sort(
        Comparator.comparing(this::isSilent)
            .thenComparing(host -> !host.id().equals(self.id()))
            .thenComparing(host -> !host.zone().equals(self.zone())));
    return sorted;
  }

  private boolean isSilent(HostState host) {
    Long since = silentSinceNanos.get(host.id());
    return since != null && clock.nowNanos() - since < SILENT_BACKOFF_NANOS;
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
