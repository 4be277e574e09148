package org.alderyard.common.error;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * A request that only the leader of the control hosts can serve reached another host and did not
 * run.
 */
public final class NotLeaderException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final transient InetSocketAddress leader;

  /**
   * Creates an error.
   *
   * @param leader the inner address of the host that leads, if the refusing host knows it
   */
  public NotLeaderException(
      String message, Optional<InetSocketAddress> leader, long retryAfterMillis) {
    super(ErrorCode.NOT_LEADER, Outcome.NOT_RUN, message, null, retryAfterMillis);
    this.leader = leader.orElse(null);
  }

  /** Returns the inner address of the host that leads, if the refusing host knows it. */
  public Optional<InetSocketAddress> leader() {
    return Optional.ofNullable(leader);
  }
}
