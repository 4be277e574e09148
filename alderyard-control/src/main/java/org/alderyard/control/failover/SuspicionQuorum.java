package org.alderyard.control.failover;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;

/**
 * Gathers the suspicions of watchers and says when a majority of a group's watchers agrees.
 *
 * <p>Not safe for use by several threads; the shell's lock guards it.
 */
public final class SuspicionQuorum {
  private final long maxAgeMillis;
  private final Map<GroupId, Map<HostId, Suspicion>> byGroup = new HashMap<>();

  /**
   * Creates an empty quorum.
   *
   * @param maxAgeMillis how long a suspicion counts that its watcher does not repeat; a watcher
   *     that died or was cut off from here must not vote for ever
   */
  public SuspicionQuorum(long maxAgeMillis) {
    this.maxAgeMillis = maxAgeMillis;
  }

  /**
   * One watcher's suspicion.
   *
   * @param term the term that the watcher saw the primary in
   * @param primary the primary
   * @param sinceMillis when the suspicion began, on this host's clock
   * @param reportedAtMillis when it was last heard of, on this host's clock
   */
  public record Suspicion(long term, ServerId primary, long sinceMillis, long reportedAtMillis) {}

  /** The result of a count. */
  public enum Verdict {
    /** A majority of the watchers suspects the current primary. */
    AGREED,
    /** Some do, but no majority. */
    MINORITY,
    /** None does. */
    NONE
  }

  /** Replaces all that a watcher suspects by its latest report. */
  public void report(HostId watcher, Map<GroupId, Suspicion> suspected) {
    byGroup.values().forEach(votes -> votes.remove(watcher));
    suspected.forEach(
        (group, suspicion) ->
            byGroup.computeIfAbsent(group, key -> new HashMap<>()).put(watcher, suspicion));
    byGroup.values().removeIf(Map::isEmpty);
  }

  /** Returns the groups that any watcher suspects. */
  public List<GroupId> groups() {
    return byGroup.keySet().stream().sorted().toList();
  }

  /**
   * Counts the votes of a group.
   *
   * @param record the group's record: a suspicion of another term or primary does not count, since
   *     it was of a primary that has been replaced already
   * @param watchers the hosts that watch the group; others have no vote
   */
  public Verdict verdict(FailoverRecord record, List<HostId> watchers, long nowMillis) {
    long votes =
        byGroup.getOrDefault(record.group(), Map.of()).entrySet().stream()
            .filter(vote -> watchers.contains(vote.getKey()))
            .filter(vote -> counts(vote.getValue(), record, nowMillis))
            .count();
    if (votes == 0) {
      return Verdict.NONE;
    }
    return votes >= watchers.size() / 2 + 1 ? Verdict.AGREED : Verdict.MINORITY;
  }

  /** Returns when the first of the suspicions of a group began; the given time if there is none. */
  public long sinceMillis(GroupId group, long nowMillis) {
    return byGroup.getOrDefault(group, Map.of()).values().stream()
        .mapToLong(Suspicion::sinceMillis)
        .min()
        .orElse(nowMillis);
  }

  private boolean counts(Suspicion suspicion, FailoverRecord record, long nowMillis) {
    return suspicion.term() == record.term()
        && record.previousPrimary().filter(suspicion.primary()::equals).isPresent()
        && nowMillis - suspicion.reportedAtMillis() <= maxAgeMillis;
  }
}
