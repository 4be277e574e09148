package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.id.HostId;

/** In-memory log of a single host, for tests and evaluation. All commands are lost on exit. */
public final class LocalLog implements ControlLog {
  private final HostId host;
  private final StateMachine stateMachine;
  // Guarded by this.
  private long lastIndex;

  /** Creates an empty log that applies each command immediately. */
  public LocalLog(HostId host, StateMachine stateMachine) {
    this.host = host;
    this.stateMachine = stateMachine;
  }

  @Override
  public synchronized CompletableFuture<ByteString> propose(ByteString command) {
    try {
      stateMachine.check(command);
      lastIndex++;
      return CompletableFuture.completedFuture(stateMachine.apply(lastIndex, command));
    } catch (EntryRefusedException refused) {
      return CompletableFuture.failedFuture(refused);
    }
  }

  @Override
  public CompletableFuture<Void> readBarrier() {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public boolean isLeader() {
    return true;
  }

  @Override
  public Optional<HostId> leader() {
    return Optional.of(host);
  }

  @Override
  public long term() {
    return 1;
  }

  @Override
  public void close() {}
}
