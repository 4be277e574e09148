package org.alderyard.proxy.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.alderyard.common.id.ServerId;

/**
 * What a host has observed of the servers and statements of one group, for admission.
 *
 * <p>Thread-safe; reads no clock. Locking: the instance monitor is a leaf lock.
 */
public final class GroupAdmission {
  private final AdmissionPolicy policy;
  // Guarded by this.
  private final Map<ServerId, ServerUse> uses = new HashMap<>();
  private final ArrivalRates primaryArrivals = new ArrivalRates();
  private final ArrivalRates readArrivals = new ArrivalRates();
  private final PrimaryOutage outage = new PrimaryOutage();
  private final RetrySpread retries = new RetrySpread();

  /** Creates the state of a group without observations. */
  public GroupAdmission(AdmissionPolicy policy) {
    this.policy = Objects.requireNonNull(policy);
  }

  /**
   * What else is known when a decision is made.
   *
   * @param servers the servers that may run the statement
   * @param queuedBefore the queued statements that are served before it
   * @param queued all queued statements with the same need
   * @param outageNanos the expected time until any server can run it
   */
  public record Situation(
      List<ServerLoad> servers, int queuedBefore, int queued, long outageNanos) {

    /** Returns the situation of a statement whose turn in the queue it is. */
    public Situation atItsTurn() {
      return new Situation(servers, 0, queued, outageNanos);
    }
  }

  /** Decides about a statement that has just arrived, and counts it if it is admitted. */
  public synchronized AdmissionDecision decide(
      AdmissionRequest request, Situation situation, long nowNanos) {
    AdmissionDecision decision =
        policy.decide(request, load(request, situation, nowNanos), nowNanos);
    if (!(decision instanceof AdmissionDecision.Reject)) {
      arrivals(request).add(request.weightedObjectiveNanos(), nowNanos);
    }
    return decision;
  }

  /** Decides whether a statement would be admitted, without counting it. */
  public synchronized AdmissionDecision preview(
      AdmissionRequest request, Situation situation, long nowNanos) {
    return policy.decide(request, load(request, situation, nowNanos), nowNanos);
  }

  /** Decides again about a statement that was told to wait. */
  public synchronized AdmissionDecision decideAgain(
      AdmissionRequest request, Situation situation, long nowNanos) {
    return policy.decideAgain(request, load(request, situation, nowNanos), nowNanos);
  }

  private AdmissionLoad load(AdmissionRequest request, Situation situation, long nowNanos) {
    ArrivalRates arrivals = arrivals(request);
    // Statements that need the primary use slots that reads could have had.
    double primaryPerNano = request.needsPrimary() ? 0 : primaryArrivals.perNano(nowNanos);
    return new AdmissionLoad(
        situation.servers(),
        situation.queuedBefore(),
        situation.queued(),
        arrivals.perNanoBelow(request.weightedObjectiveNanos(), nowNanos) + primaryPerNano,
        arrivals.perNano(nowNanos) + primaryPerNano,
        situation.outageNanos());
  }

  private ArrivalRates arrivals(AdmissionRequest request) {
    return request.needsPrimary() ? primaryArrivals : readArrivals;
  }

  /** Returns the delay after which the caller of a refused statement should retry. */
  public synchronized long retryDelayMillis(AdmissionDecision.Reject reject, long nowNanos) {
    return retries.nextDelayMillis(
        nowNanos, reject.retryAfterNanos(), reject.spreadNanos(), reject.intervalNanos());
  }

  /** Records how long a statement used a server that ran it. */
  public synchronized void recordServed(ServerId server, long incarnation, long tookNanos) {
    use(server, incarnation).recordServed(tookNanos);
  }

  /**
   * Records that a server had no slot for a statement.
   *
   * @param inFlight the statements of this host at the server, with the refused one
   */
  public synchronized void recordBusy(ServerId server, long incarnation, int inFlight) {
    use(server, incarnation).recordBusy(inFlight);
  }

  /**
   * Returns the load of a server.
   *
   * @param slots the slots of the server; 0 if unknown
   */
  public synchronized ServerLoad serverLoad(
      ServerId server,
      long incarnation,
      int slots,
      int inFlight,
      boolean busy,
      long availableAfterNanos) {
    ServerUse use = use(server, incarnation);
    return new ServerLoad(
        slots, use.shareSlots(slots), inFlight, busy, use.occupancyNanos(), availableAfterNanos);
  }

  /**
   * Returns the load of a primary that is not known yet, which no statement uses.
   *
   * @param outageNanos the expected time until it answers
   */
  public synchronized ServerLoad successorLoad(int slots, long outageNanos) {
    long occupancyNanos = uses.isEmpty() ? new ServerUse(0).occupancyNanos() : serviceNanos();
    return new ServerLoad(
        slots, Math.max(1, slots), 0, false, occupancyNanos, Math.max(1, outageNanos));
  }

  /** Returns the mean time of a statement at the fastest server; 0 if no server is known. */
  public synchronized long serviceNanos() {
    return uses.values().stream().mapToLong(ServerUse::occupancyNanos).min().orElse(0);
  }

  /** Records that a primary is known and answers. */
  public synchronized void recordPrimaryPresent(long nowNanos) {
    outage.recordPresent(nowNanos);
  }

  /**
   * Returns the expected time until a primary answers.
   *
   * @param unresponsiveNanos how long requests have gone unanswered; {@code Long.MAX_VALUE} if no
   *     primary is known
   */
  public synchronized long outageNanos(long unresponsiveNanos, long nowNanos) {
    return outage.remainingNanos(unresponsiveNanos, nowNanos);
  }

  /** Removes the observations of servers that are no longer in the view. */
  public synchronized void retainServers(Set<ServerId> servers) {
    uses.keySet().retainAll(servers);
  }

  private ServerUse use(ServerId server, long incarnation) {
    ServerUse use = uses.get(server);
    if (use == null || use.incarnation() < incarnation) {
      use = new ServerUse(incarnation);
      uses.put(server, use);
    }
    return use;
  }
}
