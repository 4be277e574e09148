package org.alderyard.proxy.admission;

import java.util.List;
import java.util.Objects;

/**
 * The load that a statement meets.
 *
 * @param servers the servers that may run the statement; empty if none is known
 * @param queuedBefore the queued statements with the same need that are served before the statement
 * @param queued all queued statements with the same need
 * @param overtakingPerNano the rate of admitted statements that arrive later and are served before
 *     the statement as long as it can meet its objective
 * @param admittedPerNano the rate of all admitted statements with the same need
 * @param outageNanos how long it is expected to take until any server can run the statement; 0 if
 *     that depends on slots and positions alone
 */
public record AdmissionLoad(
    List<ServerLoad> servers,
    int queuedBefore,
    int queued,
    double overtakingPerNano,
    double admittedPerNano,
    long outageNanos) {

  /** Copies the list. */
  public AdmissionLoad {
    Objects.requireNonNull(servers);
    servers = List.copyOf(servers);
  }

  /** Returns the number of slots that are known to be free. */
  int freeSlots() {
    if (outageNanos > 0) {
      return 0;
    }
    int free = 0;
    for (ServerLoad server : servers) {
      free += server.freeSlots();
    }
    return free;
  }

  /** Returns how long it takes until a server can run the statement, apart from slots. */
  long availableAfterNanos() {
    long soonest = Long.MAX_VALUE;
    for (ServerLoad server : servers) {
      soonest = Math.min(soonest, server.availableAfterNanos());
    }
    return Math.max(outageNanos, soonest == Long.MAX_VALUE ? 0 : soonest);
  }

  /** Returns how many statements end per nanosecond under full load; 0 if no server is known. */
  double endsPerNano() {
    long soonest = availableAfterNanos();
    double sum = 0;
    for (ServerLoad server : servers) {
      sum += server.availableAfterNanos() <= soonest ? server.endsPerNano() : 0;
    }
    return sum;
  }

  /** Returns the mean time of a statement at the fastest server; 0 if no server is known. */
  long serviceNanos() {
    long least = Long.MAX_VALUE;
    for (ServerLoad server : servers) {
      least = Math.min(least, server.occupancyNanos());
    }
    return least == Long.MAX_VALUE ? 0 : least;
  }
}
