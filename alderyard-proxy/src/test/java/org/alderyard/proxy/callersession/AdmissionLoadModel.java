package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
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
 * Discrete simulation of one host before three servers with five slots each, one of them the
 * primary. Callers send the three kinds of statements of the first deployment and retry refused
 * operations twice at most.
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
              + " late-refusals=%d %s served=%s in-time=%s",
          value,
          share(),
          operations,
          inTime,
          late,
          unserved,
          refusals,
          lateRefusals,
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
  private final GroupAdmission admission = new GroupAdmission(new DeadlineAdmission());
  private final WaitingStatements waiting;
  private final int[] inFlight = new int[SERVERS];
  private final Result result = new Result();
  private long eventNumber;

  AdmissionLoadModel(AdmissionMode mode, long seed) {
    this.mode = mode;
    this.random = new Random(seed);
    this.waiting =
        mode == AdmissionMode.DEADLINE
            ? new WaitingStatements(
                new DeadlineStatementQueue(clock, admission::serviceNanos, () -> false))
            : new WaitingStatements();
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
      new Statement(this, clock.nowNanos()).attempt(false);
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
    private final AdmissionRequest request;
    private int rounds;

    Statement(Operation operation, long arrivedNanos) {
      this.operation = operation;
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
              loads(),
              waiting.countBefore(request, rounds == 0),
              waiting.size(Need.of(request)),
              0);
      AdmissionDecision decision =
          rounds == 0
              ? admission.decide(request, situation, now)
              : admission.decideAgain(request, itsTurn ? situation.atItsTurn() : situation, now);
      if (decision instanceof AdmissionDecision.Reject reject) {
        refuse(admission.retryDelayMillis(reject, now));
      } else if (decision instanceof AdmissionDecision.Wait wait) {
        await(Math.min(250, wait.expectedNanos() / MILLI / 2));
      } else {
        start();
      }
    }

    private void attemptBySearchTime() {
      long now = clock.nowNanos();
      ServerSearchPolicy policy =
          new ServerSearchPolicy(operation.needsPrimary, true, OptionalLong.empty());
      if (freeServer() >= 0 && request.deadlineNanos() - now >= 10 * MILLI) {
        start();
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
          useful && freeServer() >= 0 && waiting.size(Need.of(request)) == 0 ? 1 : 0;
      result.longestWaitPastUse =
          Math.max(
              result.longestWaitPastUse,
              (now - (request.deadlineNanos() - 10 * MILLI)) / (double) MILLI);
      operation.refused(retryAfterMillis);
    }

    private void await(long expectedMillis) {
      long backoffMillis = Math.max(expectedMillis, Math.min(64, 8L << Math.min(rounds, 3)));
      rounds++;
      WaitingStatements.QueuedStatement queued =
          waiting.add(Need.of(request), request, () -> attempt(true));
      schedule(
          clock.nowNanos() + backoffMillis * MILLI,
          () -> {
            if (waiting.remove(queued)) {
              attempt(false);
            }
          });
    }

    private List<ServerLoad> loads() {
      List<ServerLoad> loads = new ArrayList<>();
      for (int server = 0; server < (operation.needsPrimary ? 1 : SERVERS); server++) {
        loads.add(admission.serverLoad(id(server), 1, SLOTS, inFlight[server], false, 0));
      }
      return loads;
    }

    /** Returns the least loaded server with a free slot, replicas first; -1 if there is none. */
    private int freeServer() {
      int best = -1;
      for (int server = operation.needsPrimary ? 0 : SERVERS - 1; server >= 0; server--) {
        boolean free = inFlight[server] < SLOTS;
        if (free && (best < 0 || inFlight[server] < inFlight[best])) {
          best = server;
        }
      }
      return best;
    }

    private void start() {
      int server = freeServer();
      long startedNanos = clock.nowNanos();
      inFlight[server]++;
      schedule(
          startedNanos + (long) (operation.serviceMillis * MILLI),
          () -> {
            inFlight[server]--;
            admission.recordServed(id(server), 1, clock.nowNanos() - startedNanos);
            if (clock.nowNanos() - request.deadlineNanos() > 0) {
              result.unserved++;
            } else {
              operation.answered();
            }
            waiting.notifyFirst(Need.LEAD, 1);
            waiting.notifyFirst(Need.READ, 1);
          });
    }
  }

  private static ServerId id(int server) {
    return new ServerId("s" + server);
  }
}
