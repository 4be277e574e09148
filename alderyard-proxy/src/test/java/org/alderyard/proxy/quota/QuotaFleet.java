package org.alderyard.proxy.quota;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.OrganisationQuota;
import org.alderyard.common.view.OrganisationState;
import org.alderyard.common.view.Organisations;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;
import org.alderyard.protocol.generated.quota.TakeQuotaRequest;

/** Hosts of several availability zones in simulated time, whose counters reply at once or never. */
final class QuotaFleet {
  static final QuotaTolerance TOLERANCE = new QuotaTolerance(5, 0.1, 20);
  static final String ORGANISATION = "a";

  /** Time after which the control hosts remove a host that does not renew its lease. */
  private static final long REMOVAL_MILLIS = 10_000;

  /** Duration of a view lease. */
  private static final long LEASE_MILLIS = 3_000;

  private static final int FIRST_PORT = 7_000;

  private long nowMillis = 1_000_000;
  private long version;
  private OrganisationQuota quota;
  private final QuotaCounters division;
  private View controlView = View.EMPTY;
  final List<Host> hosts = new ArrayList<>();
  final List<Long> admittedMillis = new ArrayList<>();
  LateReplies replies = LateReplies.NONE;
  private final PriorityQueue<Timed> timers = new PriorityQueue<>();
  int refusedOverLimit;
  int refusedWithoutCounter;
  int requests;

  /** A task to run at a time; those of one time run in the order of their numbers. */
  private record Timed(long atMillis, long number, Host host, Runnable task)
      implements Comparable<Timed> {
    @Override
    public int compareTo(Timed other) {
      return Comparator.comparingLong(Timed::atMillis)
          .thenComparingLong(Timed::number)
          .compare(this, other);
    }
  }

  /** A host with its own view, which may be cut off from all others or down. */
  final class Host {
    final String name;
    final ZoneName zone;
    private long incarnation;
    private boolean running;
    private boolean cut;
    private boolean frozen;
    private long lostMillis;
    private long confirmedMillis;
    private View view = View.EMPTY;
    private QuotaService service;

    Host(String name, ZoneName zone) {
      this.name = name;
      this.zone = zone;
    }

    private HostState state() {
      return new HostState(
          new HostId(name),
          incarnation,
          zone,
          new InetSocketAddress("127.0.0.1", FIRST_PORT),
          new InetSocketAddress("127.0.0.1", FIRST_PORT),
          true,
          false,
          false);
    }

    /** Starts a process, which fetches its first view before it registers. */
    void start() {
      incarnation = nowMillis;
      running = true;
      frozen = false;
      service =
          new QuotaService(
              state(),
              () -> view,
              this::call,
              () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
              (delay, task) -> runLater(task, delay.toMillis()),
              () -> nowMillis - confirmedMillis < LEASE_MILLIS,
              TOLERANCE,
              division,
              new PrometheusRegistry());
      confirmedMillis = Long.MIN_VALUE / 2;
      receive(controlView);
      register(this);
    }

    private void receive(View next) {
      view = next;
      service.onViewChange(next);
    }

    void kill() {
      running = false;
      lostMillis = nowMillis;
    }

    void cut() {
      cut = true;
      lostMillis = nowMillis;
    }

    /** Stops the process for some time; it serves nobody and begins nothing meanwhile. */
    void freeze() {
      frozen = running;
      lostMillis = nowMillis;
    }

    /** Continues a frozen process with the state that it had. */
    void resume() {
      frozen = false;
      if (running && !cut) {
        join();
      }
    }

    void join() {
      cut = false;
      if (running && !controlView.hosts().containsKey(new HostId(name))) {
        register(this);
      }
    }

    boolean connected() {
      return running && !cut && !frozen;
    }

    boolean running() {
      return running;
    }

    private CompletableFuture<TakeQuotaReply> call(
        HostState target, TakeQuotaRequest request, java.time.Duration timeout) {
      requests++;
      Host counter =
          hosts.stream().filter(host -> host.name.equals(target.id().value())).findFirst().get();
      return connected() && counter.connected()
          ? replies.deliver(counter.service.counter().take(request), this::runLater)
          : CompletableFuture.failedFuture(LateReplies.noReply());
    }

    private void runLater(Runnable task, long delayMillis) {
      timers.add(new Timed(nowMillis + delayMillis, timers.size(), this, task));
    }

    /** Begins an operation, unless this host is down or frozen. */
    void beginIfRunning() {
      if (running && !frozen) {
        begin();
      }
    }

    void begin() {
      begin(0);
    }

    /** Begins an operation that waits for a token for the given time. */
    void begin(int maxWaitMillis) {
      OrganisationState organisation =
          view.configuration()
              .flatMap(configuration -> configuration.organisations().byName(ORGANISATION))
              .orElseThrow();
      service.begin(organisation, maxWaitMillis).thenAccept(this::record);
    }

    private void record(QuotaDecision decision) {
      switch (decision.verdict()) {
        case ADMITTED -> admittedMillis.add(nowMillis);
        case OVER_LIMIT -> refusedOverLimit++;
        default -> refusedWithoutCounter++;
      }
    }
  }

  /** Starts a fleet and lets the delay of its first counters pass. */
  QuotaFleet(int zones, int hostsPerZone, OrganisationQuota quota) {
    this(zones, hostsPerZone, quota, QuotaCounters.ZONES);
  }

  /** Starts a fleet whose limits are divided as given. */
  QuotaFleet(int zones, int hostsPerZone, OrganisationQuota quota, QuotaCounters division) {
    this.quota = quota;
    this.division = division;
    configure(quota);
    for (int zone = 0; zone < zones; zone++) {
      for (int number = 0; number < hostsPerZone; number++) {
        Host host = new Host("h" + zone + "-" + number, new ZoneName("z" + zone));
        hosts.add(host);
        host.start();
      }
    }
    for (int i = 0; i < (division == QuotaCounters.ZONES ? 40 : 200); i++) {
      advance(100);
    }
  }

  long nowMillis() {
    return nowMillis;
  }

  /** Changes the limit; hosts that are cut off learn of it when they join. */
  void configure(OrganisationQuota next) {
    quota = next;
    View.Editor editor = controlView.edit();
    editor.configuration(
        new ConfigurationState(
            version + 1,
            List.of(),
            new TreeMap<>(),
            new TreeMap<>(),
            0,
            0,
            Organisations.of(
                List.of(new OrganisationState(ORGANISATION, List.of(), 1, Optional.of(next)))),
            Bytes.of(new byte[0]),
            false,
            Bytes.of(new byte[0])));
    publish(editor);
  }

  private void publish(View.Editor editor) {
    version++;
    controlView = editor.at(new ViewVersion(1, version));
  }

  private void register(Host host) {
    View.Editor editor = controlView.edit();
    editor.hosts().put(host.state().id(), host.state());
    publish(editor);
  }

  /** Advances the time, renews leases, and removes hosts whose leases have expired for long. */
  void advance(long millis) {
    long endMillis = nowMillis + millis;
    while (!timers.isEmpty() && timers.peek().atMillis() <= endMillis) {
      Timed due = timers.poll();
      nowMillis = Math.max(nowMillis, due.atMillis());
      if (due.host().frozen) {
        timers.add(new Timed(endMillis + 1, timers.size(), due.host(), due.task()));
      } else if (due.host().running()) {
        due.task().run();
      }
    }
    nowMillis = endMillis;
    for (Host host : hosts) {
      HostId id = new HostId(host.name);
      boolean expired = !host.connected() && nowMillis - host.lostMillis >= REMOVAL_MILLIS;
      if (expired && controlView.hosts().containsKey(id)) {
        View.Editor editor = controlView.edit();
        editor.hosts().remove(id);
        publish(editor);
      }
    }
    for (Host host : hosts) {
      if (host.connected()) {
        host.receive(controlView);
        host.confirmedMillis = nowMillis;
      }
    }
  }

  /** Returns the largest number of operations that began in one window of 5 s. */
  int worstWindow() {
    long windowMillis = (long) (TOLERANCE.windowSeconds() * 1_000);
    int worst = 0;
    int first = 0;
    for (int last = 0; last < admittedMillis.size(); last++) {
      while (admittedMillis.get(last) - admittedMillis.get(first) >= windowMillis) {
        first++;
      }
      worst = Math.max(worst, last - first + 1);
    }
    return worst;
  }

  /** Returns how many operations may begin in one window. */
  static double maxInWindow(OrganisationQuota quota) {
    return quota.ratePerSecond() * TOLERANCE.windowSeconds()
        + quota.burst()
        + TOLERANCE.operations(quota);
  }

  OrganisationQuota quota() {
    return quota;
  }

  /** Returns the hosts by name whose counters this fleet uses for the organisation. */
  Set<String> counters() {
    CounterAssignment assignment = new CounterAssignment(division.shares(TOLERANCE).minCounters());
    Map<ZoneName, List<HostState>> counters = assignment.counters(controlView.hosts().values());
    Set<String> names = new HashSet<>();
    assignment.countersOf(ORGANISATION, counters).forEach(host -> names.add(host.id().value()));
    return names;
  }

  /** Returns the hosts by name. */
  Map<String, Host> byName() {
    Map<String, Host> index = new HashMap<>();
    hosts.forEach(host -> index.put(host.name, host));
    return index;
  }
}
