package org.alderyard.proxy.freshness;

import java.util.Objects;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * One measurement of a server: what it answered, between two readings of the proxy's clock.
 *
 * @param server the server
 * @param incarnation the start of the server that answered
 * @param term the highest term that the server knows
 * @param primary whether it said that it is the primary of that term
 * @param held the last entry that its log holds
 * @param applied the last entry that its reads show
 * @param sentNanos the clock before the question was sent
 * @param receivedNanos the clock after the answer was read
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

  /** Checks. */
  public Measurement {
    Objects.requireNonNull(server);
    Objects.requireNonNull(held);
    Objects.requireNonNull(applied);
  }
}
