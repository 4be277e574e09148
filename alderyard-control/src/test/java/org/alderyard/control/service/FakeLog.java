package org.alderyard.control.service;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.control.log.ControlLog;
import org.alderyard.control.log.EntryRefusedException;
import org.alderyard.control.log.StateMachine;

/**
 * In-memory log with one sequence of committed commands, which each replica applies when the test
 * requests it.
 */
final class FakeLog {
  private final List<ByteString> committed = new ArrayList<>();
  private final List<Replica> replicas = new ArrayList<>();
  private Replica leader;
  private long term;
  private boolean loseAnswers;

  Replica replica(String host, StateMachine stateMachine) {
    Replica replica = new Replica(new HostId(host), stateMachine);
    replicas.add(replica);
    return replica;
  }

  void elect(Replica replica) {
    leader = replica;
    term++;
    replica.applyAll();
  }

  /** While set, proposed commands are committed but fail with a lost answer. */
  void loseAnswers(boolean lost) {
    loseAnswers = lost;
  }

  long lastIndex() {
    return committed.size();
  }

  final class Replica implements ControlLog {
    private final HostId host;
    private StateMachine stateMachine;
    private int applied;

    Replica(HostId host, StateMachine stateMachine) {
      this.host = host;
      this.stateMachine = stateMachine;
    }

    /** Applies the next command. Returns false if there is none. */
    boolean applyNext() {
      if (applied == committed.size()) {
        return false;
      }
      stateMachine.apply(applied + 1, committed.get(applied));
      applied++;
      return true;
    }

    void applyAll() {
      while (applyNext()) {
        // Applies all remaining commands.
      }
    }

    /** Replaces the state machine by one that is restored from the current snapshot. */
    void restart(StateMachine newStateMachine) {
      ByteString snapshot = stateMachine.snapshot();
      stateMachine = newStateMachine;
      newStateMachine.restore(applied, snapshot);
    }

    @Override
    public CompletableFuture<ByteString> propose(ByteString command) {
      if (leader != this) {
        return notLeader();
      }
      applyAll();
      try {
        stateMachine.check(command);
      } catch (EntryRefusedException refused) {
        return CompletableFuture.failedFuture(refused);
      }
      committed.add(command);
      applied++;
      ByteString answer = stateMachine.apply(applied, command);
      return loseAnswers
          ? CompletableFuture.failedFuture(
              AlderyardException.unknown(ErrorCode.CONNECTION_LOST, "the reply was lost", null))
          : CompletableFuture.completedFuture(answer);
    }

    @Override
    public CompletableFuture<Void> readBarrier() {
      if (leader != this) {
        return notLeader();
      }
      applyAll();
      return CompletableFuture.completedFuture(null);
    }

    private <T> CompletableFuture<T> notLeader() {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(ErrorCode.NOT_LEADER, host + " is not the leader"));
    }

    @Override
    public boolean isLeader() {
      return leader == this;
    }

    @Override
    public Optional<HostId> leader() {
      return Optional.ofNullable(leader).map(replica -> replica.host);
    }

    @Override
    public long term() {
      return term;
    }

    @Override
    public void close() {}
  }
}
