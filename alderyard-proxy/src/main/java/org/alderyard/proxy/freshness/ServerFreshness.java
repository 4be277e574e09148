package org.alderyard.proxy.freshness;

import java.util.Objects;
import java.util.OptionalLong;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * Snapshot of the measured freshness of one server.
 *
 * @param server the server
 * @param incarnation the incarnation of the server that was measured
 * @param applied the last entry that the server is known to have applied
 * @param freshAsOfNanos a time up to which the server is proved to hold all writes; empty if none
 *     is proved
 * @param lagNanos the estimated replication delay from the primary to this server; empty without an
 *     estimate
 */
public record ServerFreshness(
    ServerId server,
    long incarnation,
    Position applied,
    OptionalLong freshAsOfNanos,
    OptionalLong lagNanos) {

  /** Rejects null components. */
  public ServerFreshness {
    Objects.requireNonNull(server);
    Objects.requireNonNull(applied);
    Objects.requireNonNull(freshAsOfNanos);
    Objects.requireNonNull(lagNanos);
  }

  /** Returns an upper bound for the age of the server's data; empty if none is proved. */
  public OptionalLong ageBoundNanos(long nowNanos) {
    return freshAsOfNanos.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, nowNanos - freshAsOfNanos.getAsLong()));
  }
}
