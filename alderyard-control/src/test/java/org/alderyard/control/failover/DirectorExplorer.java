package org.alderyard.control.failover;

import static org.alderyard.control.failover.ModelState.serverId;
import static org.alderyard.control.failover.ModelState.serverIndex;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * Explores, breadth first, every state that two directors, a few servers and an unreliable network
 * can reach within a limit on terms and writes, and checks each state.
 */
final class DirectorExplorer {
  private static final long AFTER_TIMEOUTS_MILLIS = 1_000_000;
  private static final int MAX_FAULT_FREE_STEPS = 60;

  /**
   * The decision function of a director; a faulty function shows that the explorer detects faults.
   */
  interface DecisionFunction {
    DirectorDecision decide(
        FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis);
  }

  /**
   * The result of an exploration.
   *
   * @param states the number of distinct states that were reached
   * @param fault the first fault found, in the fewest steps from the start state
   */
  record Result(long states, Optional<String> fault) {}

  private final DecisionFunction decisionFunction;
  private final int serverCount;
  private final int maxTerm;
  private final int maxWrites;
  private final boolean checkTermination;

  DirectorExplorer(
      DecisionFunction decisionFunction,
      int serverCount,
      int maxTerm,
      int maxWrites,
      boolean checkTermination) {
    this.decisionFunction = decisionFunction;
    this.serverCount = serverCount;
    this.maxTerm = maxTerm;
    this.maxWrites = maxWrites;
    this.checkTermination = checkTermination;
  }

  Result explore() {
    ModelState initial = new ModelState(serverCount, maxTerm);
    Set<String> visited = new HashSet<>();
    ArrayDeque<ModelState> queue = new ArrayDeque<>();
    visited.add(initial.encode());
    queue.add(initial);
    while (!queue.isEmpty()) {
      ModelState state = queue.poll();
      Optional<String> fault = state.fault();
      if (fault.isEmpty() && checkTermination) {
        fault = terminationFault(state);
      }
      if (fault.isPresent()) {
        return new Result(visited.size(), fault);
      }
      for (ModelState next : successors(state)) {
        next.normalize();
        if (visited.add(next.encode())) {
          queue.add(next);
        }
      }
    }
    return new Result(visited.size(), Optional.empty());
  }

  private List<ModelState> successors(ModelState state) {
    List<ModelState> successors = new ArrayList<>();
    for (int director = 0; director < 2; director++) {
      addDirectorTransitions(state, director, successors);
      addResponseDeliveries(state, director, successors);
    }
    for (FailoverStep step : state.proposedSteps) {
      StepResult result = state.record.apply(step);
      if (result.accepted()) {
        ModelState next = state.copy();
        next.record = result.record();
        successors.add(next);
      }
    }
    for (int server = 0; server < serverCount; server++) {
      addServerTransitions(state, server, successors);
    }
    return successors;
  }

  private void addDirectorTransitions(ModelState state, int director, List<ModelState> successors) {
    ModelState crashed = state.copy();
    crashed.crash(director);
    successors.add(crashed);
    ModelState refreshed = state.copy();
    refreshed.readRecord(director);
    successors.add(refreshed);
    FailoverRecord knownRecord = state.knownRecords[director];
    if (knownRecord.phase() == FailoverPhase.STEADY) {
      // Watchers may suspect the primary at any time, rightly or wrongly.
      addProposal(state, grant(knownRecord, knownRecord.term() + 1), successors);
    }
    addDecision(state, director, 0, successors);
    addDecision(state, director, AFTER_TIMEOUTS_MILLIS, successors);
  }

  private void addDecision(
      ModelState state, int director, long nowMillis, List<ModelState> successors) {
    FailoverRecord knownRecord = state.knownRecords[director];
    DirectorDecision decision =
        decisionFunction.decide(knownRecord, state.attempts[director], state.eligible(), nowMillis);
    int term = (int) knownRecord.term();
    if (decision instanceof DirectorDecision.Propose propose) {
      addProposal(state, propose.step(), successors);
    } else if (decision instanceof DirectorDecision.Regrant regrant) {
      addProposal(state, grant(knownRecord, regrant.term()), successors);
    } else {
      ModelState next = state.copy();
      if (decision instanceof DirectorDecision.Fence) {
        next.fenceTermsSent |= 1 << term;
      } else if (decision instanceof DirectorDecision.Promote promote) {
        next.promotionsSent |= 1 << (term * 3 + serverIndex(promote.server()));
      } else if (decision instanceof DirectorDecision.Follow) {
        next.followTermsSent |= 1 << term;
      }
      successors.add(next);
    }
  }

  private void addProposal(ModelState state, FailoverStep step, List<ModelState> successors) {
    if (step.term() > maxTerm) {
      return;
    }
    ModelState next = state.copy();
    if (next.addProposal(step)) {
      successors.add(next);
    }
  }

  private static FailoverStep grant(FailoverRecord knownRecord, long term) {
    return new FailoverStep.Grant(
        knownRecord.term(), term, FailoverKind.FAILURE, knownRecord.members(), 0);
  }

  private void addResponseDeliveries(ModelState state, int director, List<ModelState> successors) {
    int term = (int) state.knownRecords[director].term();
    for (int server = 0; server < serverCount; server++) {
      ModelServer modelServer = state.servers[server];
      if (state.fenceResponses[term][server] != null) {
        addFenceResponse(
            state, director, server, term, state.fenceResponses[term][server], successors);
      }
      boolean fenceSent = (state.fenceTermsSent & 1 << term) != 0;
      if (fenceSent && modelServer.fencedAt == term) {
        // A server that is fenced at a higher term makes the director propose a higher term, which
        // the log refuses here: the higher term comes from a grant that this director has not read
        // yet.
        addFenceResponse(state, director, server, term, modelServer.position(), successors);
      }
    }
    if (state.primaries[term] != 0
        && state.knownRecords[director].phase() == FailoverPhase.CHOSEN) {
      ModelState next = state.copy();
      next.attempts[director] = next.attempts[director].withPromoted();
      successors.add(next);
    }
  }

  private static void addFenceResponse(
      ModelState state,
      int director,
      int server,
      int serverTerm,
      Position position,
      List<ModelState> successors) {
    ModelState next = state.copy();
    next.attempts[director] =
        next.attempts[director].withFencedPosition(serverId(server), serverTerm, position);
    successors.add(next);
  }

  private void addServerTransitions(ModelState state, int server, List<ModelState> successors) {
    for (int term = 1; term <= maxTerm; term++) {
      if ((state.fenceTermsSent & 1 << term) != 0) {
        ModelState next = state.copy();
        fence(next, server, term);
        successors.add(next);
      }
      if ((state.promotionsSent & 1 << (term * 3 + server)) != 0) {
        ModelState next = state.copy();
        promote(next, server, term);
        successors.add(next);
      }
      if ((state.followTermsSent & 1 << term) != 0 && state.termLogs[term] != null) {
        ModelState next = state.copy();
        follow(next, server, term);
        successors.add(next);
      }
    }
    ModelServer modelServer = state.servers[server];
    if (modelServer.primaryOf > 0 && state.writes < maxWrites) {
      ModelState next = state.copy();
      next.writes++;
      next.servers[server].append(modelServer.primaryOf);
      next.termLogs[modelServer.primaryOf] = next.servers[server].entryTerms;
      next.recordLogLength(server);
      successors.add(next);
    }
    if (modelServer.followerOf > 0
        && modelServer.entryTerms.length < state.termLogs[modelServer.followerOf].length) {
      ModelState next = state.copy();
      next.servers[server].append(
          state.termLogs[modelServer.followerOf][modelServer.entryTerms.length]);
      next.recordLogLength(server);
      successors.add(next);
    }
  }

  private static void fence(ModelState state, int server, int term) {
    ModelServer modelServer = state.servers[server];
    if (modelServer.fence(term) && state.fenceResponses[term][server] == null) {
      state.fenceResponses[term][server] = modelServer.position();
    }
  }

  private static void promote(ModelState state, int server, int term) {
    ModelServer modelServer = state.servers[server];
    boolean alreadyPromoted = modelServer.primaryOf == term;
    if (modelServer.promote(term) && !alreadyPromoted) {
      state.primaries[term] |= 1 << server;
      state.termLogs[term] = modelServer.entryTerms;
      state.recordLogLength(server);
    }
  }

  private static void follow(ModelState state, int server, int term) {
    state.servers[server].follow(term, state.termLogs[term]);
    state.recordLogLength(server);
  }

  /**
   * Checks that one director, without further message loss and with a majority of the servers
   * running, establishes a primary.
   */
  private Optional<String> terminationFault(ModelState start) {
    int failedServerCount = serverCount > 2 ? serverCount : 0;
    for (int failedServer = -1; failedServer < failedServerCount; failedServer++) {
      if (!new FaultFreeRun(start, failedServer).reachesPrimary()) {
        return Optional.of(
            "no primary after "
                + MAX_FAULT_FREE_STEPS
                + " fault-free steps, failed server "
                + failedServer);
      }
    }
    return Optional.empty();
  }

  /** A run without faults: the servers are copies, and messages are delivered immediately. */
  private final class FaultFreeRun {
    private final ModelServer[] servers;
    private final int failedServer;
    private FailoverRecord record;
    private Attempt attempt;

    FaultFreeRun(ModelState start, int failedServer) {
      servers = new ModelServer[serverCount];
      for (int i = 0; i < serverCount; i++) {
        servers[i] = start.servers[i].copy();
      }
      this.failedServer = failedServer;
      this.record = start.record;
      this.attempt = Attempt.begin(record.term(), 0);
    }

    boolean reachesPrimary() {
      for (int step = 0; step < MAX_FAULT_FREE_STEPS; step++) {
        if (attempt.term() != record.term()) {
          attempt = Attempt.begin(record.term(), 0);
        }
        DirectorDecision decision =
            decisionFunction.decide(record, attempt, Set.copyOf(record.members()), 0);
        if (decision instanceof DirectorDecision.Propose propose) {
          record = record.apply(propose.step()).record();
        } else if (decision instanceof DirectorDecision.Regrant regrant) {
          record = record.apply(grant(record, regrant.term())).record();
        } else if (decision instanceof DirectorDecision.Fence fence) {
          fence.servers().forEach(this::fenceServer);
        } else if (decision instanceof DirectorDecision.Promote promote) {
          if (!promoteServer(serverIndex(promote.server()))) {
            record = record.apply(grant(record, record.term() + 1)).record();
          }
        } else if (hasWorkingPrimary()) {
          return true;
        } else {
          record = record.apply(grant(record, record.term() + 1)).record();
        }
      }
      return false;
    }

    private boolean hasWorkingPrimary() {
      int primary = serverIndex(record.previousPrimary().orElseThrow());
      return primary != failedServer && servers[primary].primaryOf == record.term();
    }

    private void fenceServer(ServerId member) {
      int server = serverIndex(member);
      if (server != failedServer) {
        servers[server].fence((int) record.term());
        attempt =
            attempt.withFencedPosition(
                member, servers[server].fencedAt, servers[server].position());
      }
    }

    private boolean promoteServer(int server) {
      if (server == failedServer || !servers[server].promote((int) record.term())) {
        return false;
      }
      attempt = attempt.withPromoted();
      return true;
    }
  }
}
