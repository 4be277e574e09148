package org.alderyard.proxy.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.HostId;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;
import org.alderyard.protocol.generated.quota.TakeQuotaReply.Verdict;

/**
 * What the counters of one organisation last told this host about their tokens.
 *
 * <p>The host asks counters with enough tokens first, so that demand of one availability zone uses
 * the shares of all. Thread-safe. No other lock is acquired while the lock of this object is held.
 */
final class CounterLevels {
  /** How long a reply tells the level of a counter, which refills meanwhile. */
  private static final long LOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How long a counter without a reply is left out; longer than most pauses of a host. */
  private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** How long a host that does not count yet, or no more, is asked after the others. */
  private static final long NOT_COUNTING_NANOS = TimeUnit.SECONDS.toNanos(1);

  // Guarded by this.
  private final Map<HostId, Level> levels = new HashMap<>();

  private enum Kind {
    LOW,
    NOT_COUNTING,
    EXHAUSTED,
    SILENT
  }

  private record Level(Kind kind, long untilNanos) {}

  /** Records the reply of a counter. */
  synchronized void replied(HostState counter, TakeQuotaReply reply, long nowNanos) {
    if (reply.getVerdict() == Verdict.NOT_OWNER) {
      levels.put(counter.id(), new Level(Kind.NOT_COUNTING, nowNanos + NOT_COUNTING_NANOS));
    } else if (reply.getVerdict() == Verdict.EXHAUSTED) {
      long retryNanos = TimeUnit.MILLISECONDS.toNanos(reply.getRetryAfterMillis());
      levels.put(counter.id(), new Level(Kind.EXHAUSTED, nowNanos + retryNanos));
    } else if (!reply.getPlentiful()) {
      levels.put(counter.id(), new Level(Kind.LOW, nowNanos + LOW_NANOS));
    } else {
      levels.remove(counter.id());
    }
  }

  /** Records that a counter did not reply. */
  synchronized void silent(HostState counter, long nowNanos) {
    levels.put(counter.id(), new Level(Kind.SILENT, nowNanos + SILENT_NANOS));
  }

  /** Forgets exhausted counters, as the limit has changed. */
  synchronized void limitChanged() {
    levels.values().removeIf(level -> level.kind() == Kind.EXHAUSTED);
  }

  /**
   * Returns the counters to ask, those with enough tokens first. Leaves out exhausted counters, and
   * silent ones unless all others are silent too.
   */
  synchronized List<HostState> candidates(List<HostState> nearestFirst, long nowNanos) {
    levels.values().removeIf(level -> level.untilNanos() - nowNanos <= 0);
    boolean allSilent = nearestFirst.stream().allMatch(host -> isKind(host, Kind.SILENT));
    if (allSilent) {
      return nearestFirst;
    }
    List<HostState> result = new ArrayList<>(nearestFirst);
    result.removeIf(host -> isKind(host, Kind.EXHAUSTED) || isKind(host, Kind.SILENT));
    result.sort(Comparator.comparingInt(this::rank));
    return result;
  }

  /** Returns whether nothing is known that speaks against a counter. */
  synchronized boolean plentiful(HostState counter) {
    return !levels.containsKey(counter.id());
  }

  private boolean isKind(HostState host, Kind kind) {
    Level level = levels.get(host.id());
    return level != null && level.kind() == kind;
  }

  private int rank(HostState host) {
    Level level = levels.get(host.id());
    return level == null ? 0 : 1 + level.kind().ordinal();
  }

  /** Returns the milliseconds until the first exhausted counter has a token; empty if none is. */
  synchronized OptionalInt millisUntilToken(List<HostState> counters, long nowNanos) {
    return counters.stream()
        .map(host -> levels.get(host.id()))
        .filter(level -> level != null && level.kind() == Kind.EXHAUSTED)
        .mapToInt(level -> toMillis(level.untilNanos() - nowNanos))
        .min();
  }

  private static int toMillis(long nanos) {
    long millis = TimeUnit.NANOSECONDS.toMillis(nanos + TimeUnit.MILLISECONDS.toNanos(1) - 1);
    return (int) Math.max(1, millis);
  }
}
