package org.alderyard.proxy.freshness;

import java.util.Objects;
import java.util.OptionalLong;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * What is known of one server's data at one moment.
 *
 * @param server the server
 * @param incarnation the start of the server that was measured
 * @param applied the last entry that it is known to have applied
 * @param freshAsOfNanos a time as of which the server is proved to hold all that was written
 * @param lagNanos how long an entry takes from the primary to this server, estimated
 */
public record ServerFreshness(
    ServerId server,
    long incarnation,
    Position applied,
    OptionalLong freshAsOfNanos,
    OptionalLong lagNanos) {

  /** Checks. */
  public ServerFreshness {
    Objects.requireNonNull(server);
    Objects.requireNonNull(applied);
    Objects.requireNonNull(freshAsOfNanos);
    Objects.requireNonNull(lagNanos);
  }

  /** Returns an age that the server's data does not exceed, if one is proved. */
  public OptionalLong ageBoundNanos(long nowNanos) {
    return freshAsOfNanos.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, nowNanos - freshAsOfNanos.getAsLong()));
  }
}
