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
 * Tracks how fresh the data of each server of one group is.
 *
 * <p>A server that has applied position {@code p} holds everything that was written up to the
 * latest time at which the primary was measured at or before {@code p}. The time of a measurement
 * is taken before its request is sent, so it is never too late. Ages are computed from these stored
 * times, so an age includes the age of the measurement itself.
 *
 * <p>A measurement of the primary is valid only while that server is the primary. A primary that is
 * partitioned from its group together with this proxy appears idle, which would make its replicas
 * appear fresh while the other side of the partition writes under a new primary. A promotion first
 * fences a majority of the servers. Therefore, if a majority has answered with the old term
 * <em>after</em> a time, nothing was written under a new term <em>before</em> that time. Only times
 * that are confirmed in this way are used.
 *
 * <p>Thread-safe. The object's own monitor is a leaf lock; no other lock is taken while it is held.
 */
public final class GroupFreshness {
  /** Weight of a new measurement in the smoothed lag, as a right shift: 2 means one quarter. */
  private static final int LAG_SMOOTHING_SHIFT = 2;

  // All guarded by this.
  private final PositionHistory primaryHistory = new PositionHistory();
  private final Map<ServerId, ServerEntry> servers = new HashMap<>();
  private long term = -1;
  private Optional<ServerId> primary = Optional.empty();
  private int serverCount;

  /**
   * Adopts the term and the primary of a new view. Only measurements of this primary in this term
   * are recorded from then on.
   *
   * @param group the group in the new view
   * @param serverCount the number of registered servers of the group, in any status
   */
  public synchronized void onViewChange(GroupState group, int serverCount) {
    if (group.term() != term) {
      OptionalLong confirmedNanos = confirmedNanos();
      // Measurements of the old primary after the last confirmed time may date from after its
      // replacement.
      if (confirmedNanos.isPresent()) {
        primaryHistory.clampLatestTimes(confirmedNanos.getAsLong());
      } else {
        primaryHistory.clear();
      }
    }
    this.term = group.term();
    this.primary = group.primary();
    this.serverCount = serverCount;
  }

  /** Records a measurement. Values older than the known ones are ignored. */
  public synchronized void observe(Measurement measurement) {
    ServerEntry entry = servers.get(measurement.server());
    if (entry == null || measurement.incarnation() > entry.incarnation) {
      entry = new ServerEntry(measurement.incarnation());
      servers.put(measurement.server(), entry);
    }
    if (measurement.incarnation() < entry.incarnation) {
      return;
    }
    if (measurement.term() > entry.term) {
      entry.term = measurement.term();
      entry.termNanos = measurement.sentNanos();
    } else if (measurement.term() == entry.term) {
      entry.termNanos = Math.max(entry.termNanos, measurement.sentNanos());
    }
    boolean advanced = measurement.applied().compareTo(entry.applied) > 0;
    if (advanced) {
      entry.applied = measurement.applied();
    }
    boolean fromCurrentPrimary =
        measurement.primary()
            && measurement.term() == term
            && primary.equals(Optional.of(measurement.server()));
    if (fromCurrentPrimary) {
      primaryHistory.record(
          measurement.held(), measurement.sentNanos(), measurement.receivedNanos());
    }
    entry.receivedNanos = Math.max(entry.receivedNanos, measurement.receivedNanos());
    if (advanced) {
      updateLag(entry, measurement);
    }
  }

  /**
   * Records the position that a server returned with an answer. An incarnation of a server never
   * moves back, so a lower position is ignored.
   */
  public synchronized void recordAnswer(ServerId server, long incarnation, Position applied) {
    ServerEntry entry = servers.get(server);
    boolean newer =
        entry != null && entry.incarnation == incarnation && applied.compareTo(entry.applied) > 0;
    if (newer) {
      entry.applied = applied;
    }
  }

  /** Removes a server that is no longer registered. */
  public synchronized void remove(ServerId server) {
    servers.remove(server);
  }

  /** Returns the freshness of a server, or empty before the first measurement. */
  public synchronized Optional<ServerFreshness> of(ServerId server) {
    ServerEntry entry = servers.get(server);
    if (entry == null) {
      return Optional.empty();
    }
    return Optional.of(
        new ServerFreshness(
            server, entry.incarnation, entry.applied, freshAsOf(entry.applied), lagOf(entry)));
  }

  /**
   * Returns the smoothed lag, or an estimate from the last measurement while the server has not
   * advanced.
   *
   * <p>On an idle group, positions may not advance for a long time after this proxy has started.
   * Without an estimate, the first read after a write would go to the primary.
   */
  private OptionalLong lagOf(ServerEntry entry) {
    OptionalLong coveredNanos = primaryHistory.latestAtOrBefore(entry.applied);
    if (entry.lagNanos.isPresent() || coveredNanos.isEmpty()) {
      return entry.lagNanos;
    }
    return OptionalLong.of(Math.max(0, entry.receivedNanos - coveredNanos.getAsLong()));
  }

  /**
   * Returns a time up to which a server that has applied the position holds all writes; empty if no
   * such time is confirmed.
   */
  public synchronized OptionalLong freshAsOf(Position applied) {
    OptionalLong coveredNanos = primaryHistory.latestAtOrBefore(applied);
    OptionalLong confirmedNanos = confirmedNanos();
    if (coveredNanos.isEmpty() || confirmedNanos.isEmpty()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(Math.min(coveredNanos.getAsLong(), confirmedNanos.getAsLong()));
  }

  /** Returns a time by which the primary had written the position; empty if not measured. */
  public synchronized OptionalLong writtenBy(Position position) {
    return primaryHistory.earliestAtOrAfter(position);
  }

  /**
   * Returns the latest time after which a majority of the servers has answered with the term of the
   * view.
   */
  private OptionalLong confirmedNanos() {
    long[] times =
        servers.values().stream()
            .filter(entry -> entry.term == term)
            .mapToLong(entry -> entry.termNanos)
            .toArray();
    int majority = serverCount / 2 + 1;
    if (serverCount == 0 || times.length < majority) {
      return OptionalLong.empty();
    }
    Arrays.sort(times);
    return OptionalLong.of(times[times.length - majority]);
  }

  private void updateLag(ServerEntry entry, Measurement measurement) {
    OptionalLong coveredNanos = primaryHistory.latestAtOrBefore(entry.applied);
    if (coveredNanos.isEmpty()) {
      return;
    }
    long latest = Math.max(0, measurement.receivedNanos() - coveredNanos.getAsLong());
    long previous = entry.lagNanos.orElse(latest);
    long smoothed = previous + ((latest - previous) >> LAG_SMOOTHING_SHIFT);
    // A rise applies immediately, so that the average doesn't hide a replica that falls behind.
    entry.lagNanos = OptionalLong.of(Math.max(latest, smoothed));
  }

  private static final class ServerEntry {
    final long incarnation;
    long term = -1;
    long termNanos;
    long receivedNanos = Long.MIN_VALUE;
    Position applied = Position.NONE;
    OptionalLong lagNanos = OptionalLong.empty();

    ServerEntry(long incarnation) {
      this.incarnation = incarnation;
    }
  }
}
