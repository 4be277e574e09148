package org.alderyard.control.failover;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;

/**
 * Collects the suspicions of watchers and decides whether a majority of a group's watchers suspects
 * its primary.
 *
 * <p>Not thread-safe; the lock of {@link FailoverService} guards it.
 */
public final class SuspicionQuorum {
  private final long maxAgeMillis;
  private final Map<GroupId, Map<HostId, Suspicion>> suspicionsByGroup = new HashMap<>();

  /**
   * Creates a quorum without suspicions.
   *
   * @param maxAgeMillis how long a suspicion counts after its last report; without this limit a
   *     watcher that failed or was disconnected from this host would vote indefinitely
   */
  public SuspicionQuorum(long maxAgeMillis) {
    this.maxAgeMillis = maxAgeMillis;
  }

  /**
   * A watcher's suspicion that a primary has failed.
   *
   * @param term the term of the primary, as the watcher knows it
   * @param primary the suspected primary
   * @param sinceMillis when the suspicion began, on this host's clock
   * @param reportedAtMillis when the suspicion was last reported, on this host's clock
   */
  public record Suspicion(long term, ServerId primary, long sinceMillis, long reportedAtMillis) {}

  /** The result of counting the votes of watchers. */
  public enum Verdict {
    /** A majority of the watchers suspects the current primary. */
    AGREED,
    /** Some watchers suspect the primary, but fewer than a majority. */
    MINORITY,
    /** No watcher suspects the primary. */
    NONE
  }

  /** Replaces the suspicions of a watcher by those of its latest report. */
  public void updateSuspicions(HostId watcher, Map<GroupId, Suspicion> suspected) {
    suspicionsByGroup.values().forEach(votes -> votes.remove(watcher));
    suspected.forEach(
        (group, suspicion) ->
            suspicionsByGroup
                .computeIfAbsent(group, key -> new HashMap<>())
                .put(watcher, suspicion));
    suspicionsByGroup.values().removeIf(Map::isEmpty);
  }

  /** Returns the groups whose primary is suspected by at least one watcher, sorted. */
  public List<GroupId> suspectedGroups() {
    return suspicionsByGroup.keySet().stream().sorted().toList();
  }

  /**
   * Counts the watchers that suspect the primary of a group.
   *
   * @param record the group's record; a suspicion of another term or primary is ignored, as that
   *     primary has already been replaced
   * @param watchers the hosts that watch the group; suspicions of other hosts are ignored
   */
  public Verdict countVotes(FailoverRecord record, List<HostId> watchers, long nowMillis) {
    long votes =
        suspicionsByGroup.getOrDefault(record.group(), Map.of()).entrySet().stream()
            .filter(vote -> watchers.contains(vote.getKey()))
            .filter(vote -> isCurrent(vote.getValue(), record, nowMillis))
            .count();
    if (votes == 0) {
      return Verdict.NONE;
    }
    return votes >= watchers.size() / 2 + 1 ? Verdict.AGREED : Verdict.MINORITY;
  }

  /** Returns when the earliest suspicion of a group began, or the given time if there is none. */
  public long earliestSuspicionMillis(GroupId group, long nowMillis) {
    return suspicionsByGroup.getOrDefault(group, Map.of()).values().stream()
        .mapToLong(Suspicion::sinceMillis)
        .min()
        .orElse(nowMillis);
  }

  private boolean isCurrent(Suspicion suspicion, FailoverRecord record, long nowMillis) {
    return suspicion.term() == record.term()
        && record.previousPrimary().filter(suspicion.primary()::equals).isPresent()
        && nowMillis - suspicion.reportedAtMillis() <= maxAgeMillis;
  }
}
