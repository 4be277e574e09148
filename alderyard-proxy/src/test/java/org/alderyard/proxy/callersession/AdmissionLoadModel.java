package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.ManualClock;
import org.alderyard.proxy.admission.AdmissionDecision;
import org.alderyard.proxy.admission.AdmissionMode;
import org.alderyard.proxy.admission.AdmissionRequest;
import org.alderyard.proxy.admission.DeadlineAdmission;
import org.alderyard.proxy.admission.GroupAdmission;
import org.alderyard.proxy.admission.ServerLoad;
import org.alderyard.proxy.callersession.WaitingStatements.Need;

/**
 * Discrete simulation of hosts before three servers with five slots each, one of them the primary.
 * Callers send the three kinds of statements and retry refused operations twice at most.
 */
final class AdmissionLoadModel {
  private static final int SERVERS = 3;
  private static final int SLOTS = 5;
  private static final int MAX_RETRIES = 2;
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** One kind of statements, by the table of docs/design/competing-load.md. */
  enum Kind {
    REPORT(101, 1.0, 8, 200, 1_000, 2_000, 3.5, 0.71, 0),
    EXPORT(177, 0.0, 40, 1_200, 2_000, 6_000, 0.47, 0.35, 2),
    LOOKUP(475, 0.12, 24, 400, 1_000, 2_000, 1.9, 0.47, 1);

    final double weight;
    final double primaryShare;
    final double serviceMillis;
    final int objectiveMillis;
    final int timeoutMillis;
    final int callerMillis;
    final double inTimeValue;
    final double lateValue;
    final int priority;

    Kind(
        double weight,
        double primaryShare,
        double serviceMillis,
        int objectiveMillis,
        int timeoutMillis,
        int callerMillis,
        double inTimeValue,
        double lateValue,
        int priority) {
      this.weight = weight;
      this.primaryShare = primaryShare;
      this.serviceMillis = serviceMillis;
      this.objectiveMillis = objectiveMillis;
      this.timeoutMillis = timeoutMillis;
      this.callerMillis = callerMillis;
      this.inTimeValue = inTimeValue;
      this.lateValue = lateValue;
      this.priority = priority;
    }
  }

  /** What callers got. */
  static final class Result {
    double value;
    double offeredValue;
    int operations;
    int inTime;
    int late;
    int unserved;
    int refusals;
    int lateRefusals;
    int serverRefusals;
    int refusedWithFreeSlot;
    double longestWaitPastUse;
    final Map<Kind, Integer> served = new EnumMap<>(Kind.class);
    final Map<Kind, Integer> servedInTime = new EnumMap<>(Kind.class);
    final Map<Kind, Integer> refusedLate = new EnumMap<>(Kind.class);

    double share() {
      return value / offeredValue;
    }

    @Override
    public String toString() {
      return String.format(
          "value=%.1f share=%.3f operations=%d in-time=%d late=%d unserved=%d refusals=%d"
              + " late-refusals=%d server-refusals=%d %s served=%s in-time=%s",
          value,
          share(),
          operations,
          inTime,
          late,
          unserved,
          refusals,
          lateRefusals,
          serverRefusals,
          refusedLate,
          served,
          servedInTime);
    }
  }

  private record Event(long atNanos, long number, Runnable action) {}

  private final AdmissionMode mode;
  private final Random random;
  private final ManualClock clock = new ManualClock();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atNanos() == b.atNanos()
                  ? Long.compare(a.number(), b.number())
                  : Long.compare(a.atNanos(), b.atNanos()));
  private final List<Host> hosts = new ArrayList<>();
  private final int[] slotsInUse = new int[SERVERS];
  private final Result result = new Result();
  private long eventNumber;

  /**
   * Creates a model.
   *
   * @param hostCount how many hosts share the servers; each knows its own statements only
   */
  AdmissionLoadModel(AdmissionMode mode, long seed, int hostCount) {
    this.mode = mode;
    this.random = new Random(seed);
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new Host());
    }
  }

  /** What one host knows. */
  private final class Host {
    private final GroupAdmission admission = new GroupAdmission(new DeadlineAdmission());
    private final WaitingStatements waiting =
        mode == AdmissionMode.DEADLINE
            ? new WaitingStatements(
                new DeadlineStatementQueue(clock, admission::serviceNanos, () -> false))
            : new WaitingStatements();
    private final int[] inFlight = new int[SERVERS];
    private final ServerRefusals[] refusals = new ServerRefusals[SERVERS];

    Host() {
      for (int server = 0; server < SERVERS; server++) {
        refusals[server] = new ServerRefusals();
      }
    }

    void ended(int server) {
      inFlight[server]--;
      waiting.notifyFirst(Need.LEAD, 1);
      waiting.notifyFirst(Need.READ, 1);
    }
  }

  /** Returns the operations per second at which all slots are in use. */
  static double capacityPerSecond() {
    double weights = 0;
    double millis = 0;
    for (Kind kind : Kind.values()) {
      weights += kind.weight;
      millis += kind.weight * kind.serviceMillis;
    }
    return SERVERS * SLOTS * 1_000 * weights / millis;
  }

  /**
   * Runs the model.
   *
   * @param load the offered load as a multiple of the capacity
   * @param burst whether exports come at five times their rate for two seconds
   */
  Result run(double load, boolean burst, int seconds) {
    double weights = 0;
    for (Kind kind : Kind.values()) {
      weights += kind.weight;
    }
    for (Kind kind : Kind.values()) {
      double perSecond = capacityPerSecond() * load * kind.weight / weights;
      scheduleArrivals(kind, perSecond, 0, seconds);
      if (burst && kind == Kind.EXPORT) {
        scheduleArrivals(kind, 4 * perSecond, seconds / 3.0, seconds / 3.0 + 2);
      }
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      clock.advance(Duration.ofNanos(event.atNanos() - clock.nowNanos()));
      event.action().run();
    }
    return result;
  }

  private void scheduleArrivals(Kind kind, double perSecond, double from, double to) {
    double at = from;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / perSecond;
      if (at >= to) {
        return;
      }
      boolean needsPrimary = random.nextDouble() < kind.primaryShare;
      double serviceMillis = kind.serviceMillis * (0.5 + random.nextDouble());
      long bornNanos = (long) (at * 1_000 * MILLI);
      Operation operation = new Operation(kind, needsPrimary, serviceMillis, bornNanos);
      schedule(bornNanos, operation::send);
      result.operations++;
      result.offeredValue += kind.inTimeValue;
    }
  }

  private void schedule(long atNanos, Runnable action) {
    eventNumber++;
    events.add(new Event(atNanos, eventNumber, action));
  }

  /** An operation of a caller, with its retries. */
  private final class Operation {
    private final Kind kind;
    private final boolean needsPrimary;
    private final double serviceMillis;
    private final long bornNanos;
    private int sends;

    Operation(Kind kind, boolean needsPrimary, double serviceMillis, long bornNanos) {
      this.kind = kind;
      this.needsPrimary = needsPrimary;
      this.serviceMillis = serviceMillis;
      this.bornNanos = bornNanos;
    }

    void send() {
      sends++;
      Host host = hosts.get(random.nextInt(hosts.size()));
      new Statement(this, host, clock.nowNanos()).attempt(false);
    }

    void refused(long retryAfterMillis) {
      long retryNanos = clock.nowNanos() + retryAfterMillis * MILLI;
      if (sends > MAX_RETRIES || retryNanos - bornNanos >= kind.callerMillis * MILLI) {
        result.unserved++;
        return;
      }
      schedule(retryNanos, this::send);
    }

    void answered() {
      double millis = (clock.nowNanos() - bornNanos) / (double) MILLI;
      if (millis > kind.callerMillis) {
        result.unserved++;
        return;
      }
      boolean inTime = millis <= kind.objectiveMillis;
      result.inTime += inTime ? 1 : 0;
      result.late += inTime ? 0 : 1;
      result.value += inTime ? kind.inTimeValue : kind.lateValue;
      result.served.merge(kind, 1, Integer::sum);
      result.servedInTime.merge(kind, inTime ? 1 : 0, Integer::sum);
    }
  }

  /** A statement at the host; mirrors {@link StatementRun}. */
  private final class Statement {
    private final Operation operation;
    private final Host host;
    private final AdmissionRequest request;
    private final Set<Integer> triedServers = new HashSet<>();
    private int rounds;
    private boolean decided;

    Statement(Operation operation, Host host, long arrivedNanos) {
      this.operation = operation;
      this.host = host;
      Kind kind = operation.kind;
      this.request =
          AdmissionRequest.of(
              arrivedNanos + kind.timeoutMillis * MILLI,
              kind.timeoutMillis,
              kind.objectiveMillis,
              kind.priority,
              operation.needsPrimary);
    }

    void attempt(boolean itsTurn) {
      if (mode == AdmissionMode.DEADLINE) {
        attemptByDeadline(itsTurn);
      } else {
        attemptBySearchTime();
      }
    }

    private void attemptByDeadline(boolean itsTurn) {
      long now = clock.nowNanos();
      GroupAdmission.Situation situation =
          new GroupAdmission.Situation(
              loads(now),
              host.waiting.countBefore(request, !decided),
              host.waiting.size(Need.of(request)),
              0);
      AdmissionDecision decision =
          !decided
              ? host.admission.decide(request, situation, now)
              : host.admission.decideAgain(
                  request, itsTurn ? situation.atItsTurn() : situation, now);
      decided = true;
      if (decision instanceof AdmissionDecision.Reject reject) {
        refuse(host.admission.retryDelayMillis(reject, now));
      } else if (decision instanceof AdmissionDecision.Wait wait) {
        await(Math.min(250, wait.expectedNanos() / MILLI / 2));
      } else if (freeServer(now) < 0) {
        await(0);
      } else {
        start(freeServer(now));
      }
    }

    private void attemptBySearchTime() {
      long now = clock.nowNanos();
      ServerSearchPolicy policy =
          new ServerSearchPolicy(operation.needsPrimary, true, OptionalLong.empty());
      if (freeServer(now) >= 0 && request.deadlineNanos() - now >= 10 * MILLI) {
        start(freeServer(now));
      } else if (policy.isSearchOver(
          request.waitedNanos(now),
          request.deadlineNanos() - request.arrivedNanos(),
          request.objectiveNanos() - request.arrivedNanos())) {
        refuse(policy.retryAfterMillis());
      } else {
        await(0);
      }
    }

    private void refuse(long retryAfterMillis) {
      long now = clock.nowNanos();
      result.refusals++;
      double waitedMillis = request.waitedNanos(now) / (double) MILLI;
      if (waitedMillis > operation.kind.objectiveMillis / 4.0) {
        result.lateRefusals++;
        result.refusedLate.merge(operation.kind, 1, Integer::sum);
      }
      boolean useful = request.deadlineNanos() - now >= 10 * MILLI;
      result.refusedWithFreeSlot +=
          useful && freeServer(now) >= 0 && host.waiting.size(Need.of(request)) == 0 ? 1 : 0;
      result.longestWaitPastUse =
          Math.max(
              result.longestWaitPastUse,
              (now - (request.deadlineNanos() - 10 * MILLI)) / (double) MILLI);
      operation.refused(retryAfterMillis);
    }

    private void await(long expectedMillis) {
      long backoffMillis = Math.max(expectedMillis, Math.min(64, 8L << Math.min(rounds, 3)));
      rounds++;
      triedServers.clear();
      WaitingStatements.QueuedStatement queued =
          host.waiting.add(Need.of(request), request, () -> attempt(true));
      schedule(
          clock.nowNanos() + backoffMillis * MILLI,
          () -> {
            if (host.waiting.remove(queued)) {
              attempt(false);
            }
          });
    }

    private List<ServerLoad> loads(long now) {
      List<ServerLoad> loads = new ArrayList<>();
      for (int server = 0; server < (operation.needsPrimary ? 1 : SERVERS); server++) {
        boolean busy = host.refusals[server].isBusy(now);
        loads.add(host.admission.serverLoad(id(server), 1, SLOTS, host.inFlight[server], busy, 0));
      }
      return loads;
    }

    /** Returns the server to try, by what the host knows; -1 if there is none. */
    private int freeServer(long now) {
      int best = -1;
      for (int server = operation.needsPrimary ? 0 : SERVERS - 1; server >= 0; server--) {
        boolean free =
            host.inFlight[server] < SLOTS
                && !host.refusals[server].isBusy(now)
                && !triedServers.contains(server);
        if (free && (best < 0 || host.inFlight[server] < host.inFlight[best])) {
          best = server;
        }
      }
      return best;
    }

    private void start(int server) {
      long now = clock.nowNanos();
      triedServers.add(server);
      host.inFlight[server]++;
      host.refusals[server].recordAttempt(now);
      if (slotsInUse[server] == SLOTS) {
        host.refusals[server].recordBusy(now);
        host.admission.recordBusy(id(server), 1, host.inFlight[server]);
        result.serverRefusals++;
        host.ended(server);
        attempt(false);
        return;
      }
      slotsInUse[server]++;
      schedule(now + (long) (operation.serviceMillis * MILLI), () -> finish(server, now));
    }

    private void finish(int server, long startedNanos) {
      long now = clock.nowNanos();
      slotsInUse[server]--;
      host.refusals[server].recordAccepted();
      host.admission.recordServed(id(server), 1, now - startedNanos);
      if (now - request.deadlineNanos() > 0) {
        result.unserved++;
      } else {
        operation.answered();
      }
      host.ended(server);
    }
  }

  private static ServerId id(int server) {
    return new ServerId("s" + server);
  }
}
