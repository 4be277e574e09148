package org.alderyard.proxy.freshness;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;

/**
 * What is known of the freshness of one group's servers, shared by the workers of a proxy.
 *
 * <p>A server that has applied position {@code p} holds all that was written up to the latest time
 * at which the primary was measured at or before {@code p}. Every time is taken before the question
 * was sent, so it is never too late; and since only stored times are compared with the clock, the
 * age of a measurement counts in full.
 *
 * <p>A measured primary is evidence only while it is the primary. A primary that is cut off from
 * its group together with this proxy would look idle and keep its replicas looking fresh, while the
 * other side writes under a new one. A promotion fences a majority of the servers first; so as long
 * as a majority has answered with the old term <em>after</em> a time, nothing was written under a
 * new term <em>before</em> it. Only times that are confirmed like this count.
 *
 * <p>Lock: the object itself, a leaf; nothing is called while it is held.
 */
public final class GroupFreshness {
  /** The share of a new measurement in the estimate of the lag, as a shift. */
  private static final int LAG_SMOOTHING_SHIFT = 2;

  // All guarded by this.
  private final PositionHistory history = new PositionHistory();
  private final Map<ServerId, Measured> servers = new HashMap<>();
  private long term = -1;
  private Optional<ServerId> primary = Optional.empty();
  private int serverCount;

  /**
   * Follows the view: the term and the primary whose measurements count.
   *
   * @param group the group
   * @param serverCount the servers that the registry knows of the group, in any status
   */
  public synchronized void follow(GroupState group, int serverCount) {
    if (group.term() != term) {
      OptionalLong confirmed = confirmedNanos();
      // What the old primary said after the last confirmation may be of a time when it was
      // replaced.
      if (confirmed.isPresent()) {
        history.clampTo(confirmed.getAsLong());
      } else {
        history.clear();
      }
    }
    this.term = group.term();
    this.primary = group.primary();
    this.serverCount = serverCount;
  }

  /** Takes in a measurement; one that is older than what is known changes nothing. */
  public synchronized void observe(Measurement seen) {
    Measured measured = servers.get(seen.server());
    if (measured == null || seen.incarnation() > measured.incarnation) {
      measured = new Measured(seen.incarnation());
      servers.put(seen.server(), measured);
    }
    if (seen.incarnation() < measured.incarnation) {
      return;
    }
    if (seen.term() > measured.term) {
      measured.term = seen.term();
      measured.termNanos = seen.sentNanos();
    } else if (seen.term() == measured.term) {
      measured.termNanos = Math.max(measured.termNanos, seen.sentNanos());
    }
    boolean advanced = seen.applied().compareTo(measured.applied) > 0;
    if (advanced) {
      measured.applied = seen.applied();
    }
    boolean ofPrimary =
        seen.primary() && seen.term() == term && primary.equals(Optional.of(seen.server()));
    if (ofPrimary) {
      history.record(seen.held(), seen.sentNanos(), seen.receivedNanos());
    }
    measured.receivedNanos = Math.max(measured.receivedNanos, seen.receivedNanos());
    if (advanced) {
      updateLag(measured, seen);
    }
  }

  /** Takes in the position that an answer of a server showed: a server never goes back. */
  public synchronized void answered(ServerId server, long incarnation, Position applied) {
    Measured measured = servers.get(server);
    boolean newer =
        measured != null
            && measured.incarnation == incarnation
            && applied.compareTo(measured.applied) > 0;
    if (newer) {
      measured.applied = applied;
    }
  }

  /** Forgets a server that left the registry. */
  public synchronized void forget(ServerId server) {
    servers.remove(server);
  }

  /** Returns what is known of a server; empty before the first measurement. */
  public synchronized Optional<ServerFreshness> of(ServerId server) {
    Measured measured = servers.get(server);
    if (measured == null) {
      return Optional.empty();
    }
    return Optional.of(
        new ServerFreshness(
            server,
            measured.incarnation,
            measured.applied,
            freshAsOf(measured.applied),
            lagOf(measured)));
  }

  /**
   * The estimate of the lag, or the age of the last measurement while nothing has advanced.
   *
   * <p>On a quiet group nothing may advance for long after this proxy has started; without any
   * estimate the first read after a write would go to the primary.
   */
  private OptionalLong lagOf(Measured measured) {
    OptionalLong held = history.heldUntil(measured.applied);
    if (measured.lagNanos.isPresent() || held.isEmpty()) {
      return measured.lagNanos;
    }
    return OptionalLong.of(Math.max(0, measured.receivedNanos - held.getAsLong()));
  }

  /** Returns the time as of which a server that has applied the position holds everything. */
  public synchronized OptionalLong freshAsOf(Position applied) {
    OptionalLong held = history.heldUntil(applied);
    OptionalLong confirmed = confirmedNanos();
    if (held.isEmpty() || confirmed.isEmpty()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(Math.min(held.getAsLong(), confirmed.getAsLong()));
  }

  /** Returns by when the primary had written the position, if that was measured. */
  public synchronized OptionalLong reachedBy(Position position) {
    return history.reachedBy(position);
  }

  /** The latest time after which a majority has still answered with the term of the view. */
  private OptionalLong confirmedNanos() {
    long[] times =
        servers.values().stream()
            .filter(measured -> measured.term == term)
            .mapToLong(measured -> measured.termNanos)
            .toArray();
    int majority = serverCount / 2 + 1;
    if (serverCount == 0 || times.length < majority) {
      return OptionalLong.empty();
    }
    Arrays.sort(times);
    return OptionalLong.of(times[times.length - majority]);
  }

  private void updateLag(Measured measured, Measurement seen) {
    OptionalLong held = history.heldUntil(measured.applied);
    if (held.isEmpty()) {
      return;
    }
    long now = Math.max(0, seen.receivedNanos() - held.getAsLong());
    long before = measured.lagNanos.orElse(now);
    long smoothed = before + ((now - before) >> LAG_SMOOTHING_SHIFT);
    // A replica that falls behind must not look fast until the average has followed.
    measured.lagNanos = OptionalLong.of(Math.max(now, smoothed));
  }

  private static final class Measured {
    final long incarnation;
    long term = -1;
    long termNanos;
    long receivedNanos = Long.MIN_VALUE;
    Position applied = Position.NONE;
    OptionalLong lagNanos = OptionalLong.empty();

    Measured(long incarnation) {
      this.incarnation = incarnation;
    }
  }
}
