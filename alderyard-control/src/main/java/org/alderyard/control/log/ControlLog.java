package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.id.HostId;

/** A log of commands that all control hosts apply in the same order. */
public interface ControlLog extends AutoCloseable {

  /**
   * Appends a command.
   *
   * @param command the serialized command
   * @return the answer of the {@link StateMachine} once the command is committed and applied here.
   *     Fails with {@code NOT_LEADER} and {@code NOT_RUN} when this host does not lead, and with
   *     {@code OUTCOME_UNKNOWN} when leadership was lost before the outcome was known.
   */
  CompletableFuture<ByteString> propose(ByteString command);

  /**
   * Confirms with a quorum that this host leads.
   *
   * @return completes once the state machine holds every command that was committed before the
   *     call; fails with {@code NOT_LEADER} otherwise
   */
  CompletableFuture<Void> readBarrier();

  /** Returns whether this host believes that it leads. */
  boolean leading();

  /** Returns the host that is believed to lead. */
  Optional<HostId> leader();

  /**
   * Returns a future that is done when somebody is known to lead and, if that is this host, holds
   * all that was committed before; or when the time is over.
   */
  default CompletableFuture<Void> leaderKnown(Duration limit) {
    return CompletableFuture.completedFuture(null);
  }

  /** Returns the term of the log, which only grows. */
  long term();

  /** Returns the inner addresses of the hosts that hold the log, as far as this host knows them. */
  default List<InetSocketAddress> memberAddresses() {
    return List.of();
  }

  @Override
  void close();
}
