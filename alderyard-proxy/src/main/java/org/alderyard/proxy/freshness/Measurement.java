package org.alderyard.proxy.freshness;

import java.util.Objects;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * The state that a server reported, with the times of the request and the answer.
 *
 * @param server the server
 * @param incarnation the incarnation of the server that answered
 * @param term the highest term that the server has seen
 * @param primary whether the server reported to be the primary of that term
 * @param held the last entry in the server's log
 * @param applied the last entry that reads on the server reflect
 * @param sentNanos the proxy's monotonic clock before the request was sent
 * @param receivedNanos the proxy's monotonic clock after the answer was read
 */
public record Measurement(
    ServerId server,
    long incarnation,
    long term,
    boolean primary,
    Position held,
    Position applied,
    long sentNanos,
    long receivedNanos) {

  /** Rejects null components. */
  public Measurement {
    Objects.requireNonNull(server);
    Objects.requireNonNull(held);
    Objects.requireNonNull(applied);
  }
}
