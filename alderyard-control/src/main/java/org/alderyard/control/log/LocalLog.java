package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.id.HostId;

/** A log on one host that keeps nothing: for tests and for a trial on a single machine. */
public final class LocalLog implements ControlLog {
  private final HostId host;
  private final StateMachine machine;
  // Guarded by this.
  private long lastIndex;

  /** Creates an empty log. */
  public LocalLog(HostId host, StateMachine machine) {
    this.host = host;
    this.machine = machine;
  }

  @Override
  public synchronized CompletableFuture<ByteString> propose(ByteString command) {
    lastIndex++;
    return CompletableFuture.completedFuture(machine.apply(lastIndex, command));
  }

  @Override
  public CompletableFuture<Void> readBarrier() {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public boolean leading() {
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
