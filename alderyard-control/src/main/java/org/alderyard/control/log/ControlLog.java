package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.id.HostId;

/** Ordered log of commands that every control host applies in the same sequence. */
public interface ControlLog extends AutoCloseable {

  /**
   * Appends a command.
   *
   * @param command the serialized command
   * @return the result of the {@link StateMachine}, once the command is committed and applied on
   *     this host. Fails with {@code NOT_LEADER} and {@code NOT_RUN} if this host is not the
   *     leader, and with {@code OUTCOME_UNKNOWN} if the host loses leadership before the outcome is
   *     known.
   */
  CompletableFuture<ByteString> propose(ByteString command);

  /**
   * Confirms with a quorum that this host is the leader, for a linearizable read.
   *
   * @return a future that completes once the state machine has applied every command committed
   *     before the call, and fails with {@code NOT_LEADER} if this host is not the leader
   */
  CompletableFuture<Void> readBarrier();

  /** Returns whether this host presumes that it is the leader; no quorum is asked. */
  boolean isLeader();

  /** Returns the presumed leader, or empty if none is known. */
  Optional<HostId> leader();

  /**
   * Returns a future that completes when a leader is known or the timeout expires. If this host is
   * the leader, the future also waits until the host has applied all earlier committed commands.
   */
  default CompletableFuture<Void> whenLeaderKnown(Duration timeout) {
    return CompletableFuture.completedFuture(null);
  }

  /** Starts to hand the leadership over to another host, if this host leads and there is one. */
  default CompletableFuture<Boolean> transferLeadership() {
    return CompletableFuture.completedFuture(false);
  }

  /** Returns the current term, which never decreases. */
  long term();

  /** Returns the inner addresses of the log's members that are known to this host. */
  default List<InetSocketAddress> memberAddresses() {
    return List.of();
  }

  @Override
  void close();
}
