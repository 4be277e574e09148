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
import org.alderyard.control.log.StateMachine;

/** One committed order of commands, and the hosts that apply it when the test says so. */
final class FakeLog {
  private final List<ByteString> committed = new ArrayList<>();
  private final List<Replica> replicas = new ArrayList<>();
  private Replica leader;
  private long term;
  private boolean answersLost;

  Replica replica(String host, StateMachine machine) {
    Replica replica = new Replica(new HostId(host), machine);
    replicas.add(replica);
    return replica;
  }

  void lead(Replica replica) {
    leader = replica;
    term++;
    replica.applyAll();
  }

  /** While set, commands are committed and their answers get lost. */
  void loseAnswers(boolean lost) {
    answersLost = lost;
  }

  long lastIndex() {
    return committed.size();
  }

  final class Replica implements ControlLog {
    private final HostId host;
    private StateMachine machine;
    private int applied;

    Replica(HostId host, StateMachine machine) {
      this.host = host;
      this.machine = machine;
    }

    /** Applies the next command, if there is one. */
    boolean applyNext() {
      if (applied == committed.size()) {
        return false;
      }
      machine.apply(applied + 1, committed.get(applied));
      applied++;
      return true;
    }

    void applyAll() {
      while (applyNext()) {
        // Goes on to the end.
      }
    }

    /** Restarts with a new state that is restored from the old one's snapshot. */
    void restart(StateMachine fresh) {
      ByteString snapshot = machine.snapshot();
      machine = fresh;
      fresh.restore(applied, snapshot);
    }

    @Override
    public CompletableFuture<ByteString> propose(ByteString command) {
      if (leader != this) {
        return notLeader();
      }
      applyAll();
      committed.add(command);
      applied++;
      ByteString answer = machine.apply(applied, command);
      return answersLost
          ? CompletableFuture.failedFuture(
              AlderyardException.unknown(ErrorCode.CONNECTION_LOST, "the answer was lost", null))
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
          AlderyardException.notRun(ErrorCode.NOT_LEADER, host + " does not lead"));
    }

    @Override
    public boolean leading() {
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
