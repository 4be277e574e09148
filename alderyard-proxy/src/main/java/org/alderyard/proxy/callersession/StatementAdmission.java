package org.alderyard.proxy.callersession;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.admission.AdmissionDecision;
import org.alderyard.proxy.admission.AdmissionDecision.Reason;
import org.alderyard.proxy.admission.AdmissionRequest;
import org.alderyard.proxy.admission.DeadlineAdmission;
import org.alderyard.proxy.admission.GroupAdmission;
import org.alderyard.proxy.admission.ServerLoad;
import org.alderyard.proxy.callersession.WaitingStatements.Need;
import org.alderyard.proxy.view.LeasedView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admission of one statement: collects what this host knows of the servers that may run it and
 * decides. Not thread-safe.
 */
final class StatementAdmission {
  private static final Logger log = LoggerFactory.getLogger(StatementAdmission.class);

  /** A refusal after this part of the objective is late: its caller has lost time for a retry. */
  private static final double LATE_REFUSAL_FRACTION = 0.25;

  private final SessionContext context;
  private final StatementTask task;
  private final Optional<GroupRouting.Floor> floor;
  private final GroupRouting routing;
  private final AdmissionRequest request;
  private boolean decided;

  /**
   * Creates the admission of a statement without a decision.
   *
   * @param floor the position that a server must hold; empty if only the primary may run the
   *     statement
   */
  StatementAdmission(
      SessionContext context, StatementTask task, Optional<GroupRouting.Floor> floor) {
    this.context = context;
    this.task = task;
    this.floor = floor;
    this.routing = context.routings().of(task.database().group());
    this.request =
        AdmissionRequest.of(
            task.deadlineNanos(),
            task.database().statementTimeoutMillis(),
            task.database().latencyObjectiveMillis(),
            task.database().priority(),
            floor.isEmpty());
  }

  /**
   * Returns why a statement is refused before it takes an operation of its organisation's quota or
   * waits for a sample; empty if it is not.
   *
   * @param needsPrimary whether only the primary may run the statement
   */
  static Optional<Refusal> screen(
      SessionContext context, StatementTask task, boolean needsPrimary) {
    if (!context.admission().usesDeadlines()) {
      return Optional.empty();
    }
    long now = context.clock().nowNanos();
    Optional<GroupRouting.Floor> anyPosition =
        needsPrimary ? Optional.empty() : Optional.of(new GroupRouting.Floor(Position.NONE, now));
    StatementAdmission admission = new StatementAdmission(context, task, anyPosition);
    AdmissionDecision decision =
        admission
            .knownRefusal(now)
            .orElseGet(
                () -> admission.group().preview(admission.request, admission.situation(now), now));
    return decision instanceof AdmissionDecision.Reject reject
        ? Optional.of(new Refusal(RefusalCode.BUSY, admission.refusalText(reject, now)))
        : Optional.empty();
  }

  AdmissionRequest request() {
    return request;
  }

  /**
   * Decides about the statement; it always runs if admission is off.
   *
   * @param itsTurn whether the statement has just left the queue for a free slot
   */
  AdmissionDecision decide(long nowNanos, boolean itsTurn) {
    if (!context.admission().usesDeadlines()) {
      return AdmissionDecision.RUN;
    }
    AdmissionDecision decision =
        knownRefusal(nowNanos).orElseGet(() -> decideByLoad(nowNanos, itsTurn));
    decided = true;
    context.admission().metrics().countDecision(decision);
    return decision;
  }

  private AdmissionDecision decideByLoad(long nowNanos, boolean itsTurn) {
    GroupAdmission.Situation situation = situation(nowNanos);
    return decided
        ? group().decideAgain(request, itsTurn ? situation.atItsTurn() : situation, nowNanos)
        : group().decide(request, situation, nowNanos);
  }

  /** Returns the refusal of a statement whose servers are known not to run it for long. */
  private Optional<AdmissionDecision> knownRefusal(long nowNanos) {
    ServerSearchPolicy policy = searchPolicy(nowNanos);
    return policy.noServerExpected()
        ? Optional.of(refusal(Reason.NO_PRIMARY, policy))
        : Optional.empty();
  }

  /** Returns the refusal of a statement that no server accepted within its search time. */
  AdmissionDecision.Reject searchEnded(ServerSearchPolicy policy) {
    return refusal(Reason.NO_SERVER, policy);
  }

  private AdmissionDecision.Reject refusal(Reason reason, ServerSearchPolicy policy) {
    return new AdmissionDecision.Reject(
        reason,
        TimeUnit.MILLISECONDS.toNanos(policy.retryAfterMillis()),
        request.objectiveNanos() - request.arrivedNanos(),
        0);
  }

  private GroupAdmission group() {
    return routing.admission();
  }

  private GroupAdmission.Situation situation(long nowNanos) {
    Optional<GroupState> state = context.group(task.database().group());
    List<ServerState> servers = context.servers(task.database().group());
    List<ServerLoad> loads = new ArrayList<>();
    long outageNanos = 0;
    if (request.needsPrimary()) {
      Optional<ServerState> primary =
          state.flatMap(group -> routing.availablePrimary(servers, group, nowNanos));
      primary.ifPresent(server -> loads.add(load(server, state, true, nowNanos)));
      if (primary.isEmpty()) {
        outageNanos = outageNanos(state, nowNanos);
        loads.add(group().successorLoad(slots(state), outageNanos));
        state.ifPresent(context.routings()::startPrimarySearch);
      } else if (unresponsiveNanos(state, nowNanos).isEmpty()) {
        group().recordPrimaryPresent(nowNanos);
      }
    } else {
      Optional<ServerId> primary = state.flatMap(routing::presumedPrimary);
      for (ServerState server :
          routing.readCandidates(servers, primary, floor.orElseThrow(), nowNanos)) {
        boolean isPrimary = primary.filter(server.id()::equals).isPresent();
        loads.add(load(server, state, isPrimary, nowNanos));
      }
    }
    WaitingStatements waiting = routing.waitingStatements();
    return new GroupAdmission.Situation(
        loads, waiting.countBefore(request, !decided), waiting.size(Need.of(request)), outageNanos);
  }

  private ServerLoad load(
      ServerState server, Optional<GroupState> state, boolean isPrimary, long nowNanos) {
    ServerObservation observed = routing.observe(server, floor, isPrimary, nowNanos);
    return group()
        .serverLoad(
            server.id(),
            server.incarnation(),
            slots(state),
            observed.inFlight(),
            observed.busy(),
            observed.availableAfterNanos());
  }

  private static int slots(Optional<GroupState> state) {
    return state.map(GroupState::slotsPerServer).orElse(0);
  }

  private long outageNanos(Optional<GroupState> state, long nowNanos) {
    long unresponsiveNanos = unresponsiveNanos(state, nowNanos).orElse(Long.MAX_VALUE);
    return group().outageNanos(unresponsiveNanos, nowNanos);
  }

  private OptionalLong unresponsiveNanos(Optional<GroupState> state, long nowNanos) {
    return state
        .map(group -> routing.primaryUnresponsiveNanos(group, nowNanos))
        .orElse(OptionalLong.empty());
  }

  /** Returns what is known of the primary and of this host's view. */
  ServerSearchPolicy searchPolicy(long nowNanos) {
    LeasedView leased = context.leasedViews().read();
    return new ServerSearchPolicy(
        request.needsPrimary(),
        leased.leaseValid(),
        leased
            .view()
            .group(task.database().group())
            .map(group -> routing.primaryUnresponsiveNanos(group, nowNanos))
            .orElse(OptionalLong.empty()),
        context.routings().blockedPromotions().contains(task.database().group(), nowNanos));
  }

  /**
   * Returns how long an admitted statement may wait for a connection: until its objective while it
   * can meet that, until its deadline after it.
   */
  long connectionWaitNanos(long nowNanos) {
    long untilObjective = request.objectiveNanos() - nowNanos;
    long untilDeadline = request.deadlineNanos() - DeadlineAdmission.MIN_EXECUTION_NANOS - nowNanos;
    return Math.max(
        1, untilObjective > 0 ? Math.min(untilObjective, untilDeadline) : untilDeadline);
  }

  /** Returns the text of a refusal, and logs and counts it. */
  String refusalText(AdmissionDecision.Reject reject, long nowNanos) {
    long retryAfterMillis = group().retryDelayMillis(reject, nowNanos);
    long waitedNanos = request.waitedNanos(nowNanos);
    long objectiveNanos = request.objectiveNanos() - request.arrivedNanos();
    boolean late = waitedNanos > objectiveNanos * LATE_REFUSAL_FRACTION;
    context.admission().metrics().countRefusal(reject.reason(), late);
    context
        .admission()
        .refusalLog()
        .tryLog(nowNanos)
        .ifPresent(
            suppressed ->
                log.info(
                    "event=statement-not-admitted id={} database={} group={} needs-lead={}"
                        + " reason={} waited-millis={} waiting={} retry-after-millis={}"
                        + " suppressed={}",
                    task.loggedId(),
                    task.database().name(),
                    task.database().group(),
                    request.needsPrimary(),
                    reject.reason(),
                    TimeUnit.NANOSECONDS.toMillis(waitedNanos),
                    routing.waitingStatements().size(Need.of(request)),
                    retryAfterMillis,
                    suppressed));
    return "no server can run the statement now; retry after " + retryAfterMillis + " ms";
  }
}
