package org.alderyard.proxy.admission;

import java.util.concurrent.TimeUnit;

/**
 * Refuses statements whose expected start and service time exceed their deadline.
 *
 * <p>The expected start follows from the statements queued before, from the rate at which servers
 * end statements, and from the statements that arrive later and overtake. A statement that can only
 * be late is overtaken by all others, so that it is admitted only if servers have time to spare.
 */
public final class DeadlineAdmission implements AdmissionPolicy {
  /** Time that a server needs to run a statement at all; a later start would end in doubt. */
  public static final long MIN_EXECUTION_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /**
   * Part of the turns that statements with more slack keep while others overtake them; it equals
   * the turns of the longest waiting statement in {@link DeadlineQueue}.
   */
  private static final double KEPT_SHARE = 1.0 / DeadlineQueue.OLDEST_TURN;

  /**
   * Part of the time until its objective that a statement is admitted to queue. The rest covers the
   * spread of service times, and leaves refused callers time to return and still be served in time.
   */
  private static final double ADMITTED_FRACTION = 0.5;

  /**
   * Part of the objective after which the caller of a statement that met too long a queue returns
   * at the latest, apart from the spread; a second refusal still leaves it half of the objective.
   */
  private static final double RETRY_FRACTION = 1.0 / 16;

  /** Part of the objective over which the returns of refused callers are spread. */
  private static final double SPREAD_FRACTION = 1.0 / 8;

  @Override
  public AdmissionDecision decide(AdmissionRequest request, AdmissionLoad load, long nowNanos) {
    long serviceNanos = load.serviceNanos();
    if (!request.meetsDeadline(nowNanos, MIN_EXECUTION_NANOS)) {
      return reject(AdmissionDecision.Reason.EXPIRED, request, load);
    }
    int freeSlots = load.freeSlots();
    if (freeSlots > load.queuedBefore()) {
      return AdmissionDecision.RUN;
    }
    long waitNanos = waitNanos(load, load.queuedBefore() - freeSlots, load.overtakingPerNano());
    long queueNanos = waitNanos - load.availableAfterNanos();
    long reservedNanos = load.availableAfterNanos() + (long) (queueNanos / ADMITTED_FRACTION);
    if (request.meetsObjective(nowNanos + reservedNanos, serviceNanos)) {
      return new AdmissionDecision.Wait(waitNanos);
    }
    long lateWaitNanos = waitNanos(load, load.queued() - freeSlots, load.admittedPerNano());
    return hasTimeToSpare(load) && request.meetsDeadline(nowNanos + lateWaitNanos, serviceNanos)
        ? new AdmissionDecision.Wait(lateWaitNanos)
        : reject(reason(request, load, nowNanos), request, load);
  }

  /** Refuses only what can't be served even if no other statement overtakes it any more. */
  @Override
  public AdmissionDecision decideAgain(
      AdmissionRequest request, AdmissionLoad load, long nowNanos) {
    if (!request.meetsDeadline(nowNanos, MIN_EXECUTION_NANOS)) {
      return reject(AdmissionDecision.Reason.EXPIRED, request, load);
    }
    int freeSlots = load.freeSlots();
    if (freeSlots > load.queuedBefore()) {
      return AdmissionDecision.RUN;
    }
    long waitNanos = waitNanos(load, load.queuedBefore() - freeSlots, 0);
    return request.meetsDeadline(nowNanos + waitNanos, load.serviceNanos())
        ? new AdmissionDecision.Wait(waitNanos)
        : reject(reason(request, load, nowNanos), request, load);
  }

  private static long waitNanos(AdmissionLoad load, int before, double overtakingPerNano) {
    long availableAfterNanos = load.availableAfterNanos();
    double endsPerNano = load.endsPerNano();
    if (endsPerNano == 0) {
      return availableAfterNanos;
    }
    double keptPerNano = Math.max(endsPerNano * KEPT_SHARE, endsPerNano - overtakingPerNano);
    return availableAfterNanos + (long) (Math.max(0, before + 1) / keptPerNano);
  }

  /** Returns whether servers end clearly more statements than are admitted. */
  private static boolean hasTimeToSpare(AdmissionLoad load) {
    return load.admittedPerNano() < load.endsPerNano() * (1 - KEPT_SHARE);
  }

  private static AdmissionDecision.Reason reason(
      AdmissionRequest request, AdmissionLoad load, long nowNanos) {
    long availableNanos = nowNanos + load.availableAfterNanos();
    if (request.meetsDeadline(availableNanos, load.serviceNanos())) {
      return AdmissionDecision.Reason.OVERLOAD;
    }
    return load.outageNanos() > 0
        ? AdmissionDecision.Reason.NO_PRIMARY
        : AdmissionDecision.Reason.LAG;
  }

  private static AdmissionDecision reject(
      AdmissionDecision.Reason reason, AdmissionRequest request, AdmissionLoad load) {
    double endsPerNano = load.endsPerNano();
    long intervalNanos = endsPerNano == 0 ? 0 : (long) (1 / endsPerNano);
    long drainNanos = load.queued() * intervalNanos;
    long objectiveNanos = request.objectiveNanos() - request.arrivedNanos();
    long retryNanos = Math.min(drainNanos, (long) (objectiveNanos * RETRY_FRACTION));
    return new AdmissionDecision.Reject(
        reason,
        load.availableAfterNanos() + retryNanos,
        (long) (objectiveNanos * SPREAD_FRACTION),
        intervalNanos);
  }
}
