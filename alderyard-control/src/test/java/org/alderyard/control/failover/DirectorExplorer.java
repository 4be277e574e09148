package org.alderyard.control.failover;

import static org.alderyard.control.failover.ModelState.number;
import static org.alderyard.control.failover.ModelState.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * Walks through every state that two directors, a few servers and an unreliable network can reach,
 * within a bound on terms and writes, and checks each.
 */
final class DirectorExplorer {
  private static final long TIMED_OUT_MILLIS = 1_000_000;
  private static final int FAIR_STEPS = 60;

  /** How a director decides; a broken one shows that the explorer can fail. */
  interface Rules {
    DirectorDecision decide(
        FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis);
  }

  /**
   * The result of a walk.
   *
   * @param states how many different states were reached
   * @param fault the first fault found, nearest to the start
   */
  record Result(long states, Optional<String> fault) {}

  private final Rules rules;
  private final int serverCount;
  private final int maxTerm;
  private final int maxWrites;
  private final boolean checkEnd;

  DirectorExplorer(Rules rules, int serverCount, int maxTerm, int maxWrites, boolean checkEnd) {
    this.rules = rules;
    this.serverCount = serverCount;
    this.maxTerm = maxTerm;
    this.maxWrites = maxWrites;
    this.checkEnd = checkEnd;
  }

  Result explore() {
    ModelState start = new ModelState(serverCount, maxTerm);
    Set<String> seen = new HashSet<>();
    ArrayDeque<ModelState> open = new ArrayDeque<>();
    seen.add(start.encode());
    open.add(start);
    while (!open.isEmpty()) {
      ModelState state = open.poll();
      Optional<String> fault = state.fault();
      if (fault.isEmpty() && checkEnd) {
        fault = endlessness(state);
      }
      if (fault.isPresent()) {
        return new Result(seen.size(), fault);
      }
      for (ModelState next : successors(state)) {
        next.normalize();
        if (seen.add(next.encode())) {
          open.add(next);
        }
      }
    }
    return new Result(seen.size(), Optional.empty());
  }

  private List<ModelState> successors(ModelState state) {
    List<ModelState> all = new ArrayList<>();
    for (int director = 0; director < 2; director++) {
      directorMoves(state, director, all);
      answersArrive(state, director, all);
    }
    for (FailoverStep step : state.proposals) {
      StepResult result = state.record.apply(step);
      if (result.accepted()) {
        ModelState next = state.copy();
        next.record = result.record();
        all.add(next);
      }
    }
    for (int server = 0; server < serverCount; server++) {
      serverMoves(state, server, all);
    }
    return all;
  }

  private void directorMoves(ModelState state, int director, List<ModelState> all) {
    ModelState crashed = state.copy();
    crashed.crash(director);
    all.add(crashed);
    ModelState refreshed = state.copy();
    refreshed.read(director);
    all.add(refreshed);
    FailoverRecord known = state.known[director];
    if (known.phase() == FailoverPhase.STEADY) {
      // Suspicion may be right or wrong at any time.
      propose(state, grant(known, known.term() + 1), all);
    }
    act(state, director, 0, all);
    act(state, director, TIMED_OUT_MILLIS, all);
  }

  private void act(ModelState state, int director, long nowMillis, List<ModelState> all) {
    FailoverRecord known = state.known[director];
    DirectorDecision decision =
        rules.decide(known, state.attempts[director], state.eligible(), nowMillis);
    int term = (int) known.term();
    if (decision instanceof DirectorDecision.Propose propose) {
      propose(state, propose.step(), all);
    } else if (decision instanceof DirectorDecision.Regrant regrant) {
      propose(state, grant(known, regrant.term()), all);
    } else {
      ModelState next = state.copy();
      if (decision instanceof DirectorDecision.Fence) {
        next.fencesSent |= 1 << term;
      } else if (decision instanceof DirectorDecision.Promote promote) {
        next.promotesSent |= 1 << (term * 3 + number(promote.server()));
      } else if (decision instanceof DirectorDecision.Follow) {
        next.followsSent |= 1 << term;
      }
      all.add(next);
    }
  }

  private void propose(ModelState state, FailoverStep step, List<ModelState> all) {
    if (step.term() > maxTerm) {
      return;
    }
    ModelState next = state.copy();
    if (next.send(step)) {
      all.add(next);
    }
  }

  private static FailoverStep grant(FailoverRecord known, long term) {
    return new FailoverStep.Grant(known.term(), term, FailoverKind.FAILURE, known.members(), 0);
  }

  private void answersArrive(ModelState state, int director, List<ModelState> all) {
    int term = (int) state.known[director].term();
    for (int server = 0; server < serverCount; server++) {
      ModelServer one = state.servers[server];
      if (state.fenceAnswers[term][server] != null) {
        learn(state, director, server, term, state.fenceAnswers[term][server], all);
      }
      boolean asked = (state.fencesSent & 1 << term) != 0;
      if (asked && one.fencedAt == term) {
        // A server that is fenced higher makes the director ask for a higher term, which the log
        // refuses here: a server's higher term came from a grant that this director has not read.
        learn(state, director, server, term, one.position(), all);
      }
    }
    if (state.primaries[term] != 0 && state.known[director].phase() == FailoverPhase.CHOSEN) {
      ModelState next = state.copy();
      next.attempts[director] = next.attempts[director].withPromoted();
      all.add(next);
    }
  }

  private static void learn(
      ModelState state,
      int director,
      int server,
      int serverTerm,
      Position position,
      List<ModelState> all) {
    ModelState next = state.copy();
    next.attempts[director] =
        next.attempts[director].withFenced(server(server), serverTerm, position);
    all.add(next);
  }

  private void serverMoves(ModelState state, int server, List<ModelState> all) {
    for (int term = 1; term <= maxTerm; term++) {
      if ((state.fencesSent & 1 << term) != 0) {
        ModelState next = state.copy();
        fence(next, server, term);
        all.add(next);
      }
      if ((state.promotesSent & 1 << (term * 3 + server)) != 0) {
        ModelState next = state.copy();
        promote(next, server, term);
        all.add(next);
      }
      if ((state.followsSent & 1 << term) != 0 && state.termLogs[term] != null) {
        ModelState next = state.copy();
        follow(next, server, term);
        all.add(next);
      }
    }
    ModelServer one = state.servers[server];
    if (one.primaryOf > 0 && state.writes < maxWrites) {
      ModelState next = state.copy();
      next.writes++;
      next.servers[server].append(one.primaryOf);
      next.termLogs[one.primaryOf] = next.servers[server].entryTerms;
      next.noteHeld(server);
      all.add(next);
    }
    if (one.followerOf > 0 && one.entryTerms.length < state.termLogs[one.followerOf].length) {
      ModelState next = state.copy();
      next.servers[server].append(state.termLogs[one.followerOf][one.entryTerms.length]);
      next.noteHeld(server);
      all.add(next);
    }
  }

  private static void fence(ModelState state, int server, int term) {
    ModelServer one = state.servers[server];
    if (one.fence(term) && state.fenceAnswers[term][server] == null) {
      state.fenceAnswers[term][server] = one.position();
    }
  }

  private static void promote(ModelState state, int server, int term) {
    ModelServer one = state.servers[server];
    boolean already = one.primaryOf == term;
    if (one.promote(term) && !already) {
      state.primaries[term] |= 1 << server;
      state.termLogs[term] = one.entryTerms;
      state.noteHeld(server);
    }
  }

  private static void follow(ModelState state, int server, int term) {
    state.servers[server].follow(term, state.termLogs[term]);
    state.noteHeld(server);
  }

  /** From here on no message is lost and one director works: with a majority alive it must end. */
  private Optional<String> endlessness(ModelState from) {
    int deadVariants = serverCount > 2 ? serverCount : 0;
    for (int dead = -1; dead < deadVariants; dead++) {
      if (!new FairRun(from, dead).ends()) {
        return Optional.of("no primary after " + FAIR_STEPS + " fair steps, dead server " + dead);
      }
    }
    return Optional.empty();
  }

  /** A run without faults: state of servers is copied, messages are delivered at once. */
  private final class FairRun {
    private final ModelServer[] servers;
    private final int dead;
    private FailoverRecord record;
    private Attempt attempt;

    FairRun(ModelState from, int dead) {
      servers = new ModelServer[serverCount];
      for (int i = 0; i < serverCount; i++) {
        servers[i] = from.servers[i].copy();
      }
      this.dead = dead;
      this.record = from.record;
      this.attempt = Attempt.begin(record.term(), 0);
    }

    boolean ends() {
      for (int step = 0; step < FAIR_STEPS; step++) {
        if (attempt.term() != record.term()) {
          attempt = Attempt.begin(record.term(), 0);
        }
        DirectorDecision decision = rules.decide(record, attempt, Set.copyOf(record.members()), 0);
        if (decision instanceof DirectorDecision.Propose propose) {
          record = record.apply(propose.step()).record();
        } else if (decision instanceof DirectorDecision.Regrant regrant) {
          record = record.apply(grant(record, regrant.term())).record();
        } else if (decision instanceof DirectorDecision.Fence fence) {
          fence.servers().forEach(this::fenceOne);
        } else if (decision instanceof DirectorDecision.Promote promote) {
          if (!promoteOne(number(promote.server()))) {
            record = record.apply(grant(record, record.term() + 1)).record();
          }
        } else if (working()) {
          return true;
        } else {
          record = record.apply(grant(record, record.term() + 1)).record();
        }
      }
      return false;
    }

    private boolean working() {
      int primary = number(record.previousPrimary().orElseThrow());
      return primary != dead && servers[primary].primaryOf == record.term();
    }

    private void fenceOne(ServerId member) {
      int server = number(member);
      if (server != dead) {
        servers[server].fence((int) record.term());
        attempt = attempt.withFenced(member, servers[server].fencedAt, servers[server].position());
      }
    }

    private boolean promoteOne(int server) {
      if (server == dead || !servers[server].promote((int) record.term())) {
        return false;
      }
      attempt = attempt.withPromoted();
      return true;
    }
  }
}
