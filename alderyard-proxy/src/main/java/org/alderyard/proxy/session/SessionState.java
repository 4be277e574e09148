package org.alderyard.proxy.session;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.View;

/**
 * The position that a session has observed in each group, ordered from the least to the most
 * recently accessed group.
 *
 * <p>Immutable. A session holds at most {@link #MAX_GROUPS} positions; older ones are dropped,
 * which {@link #folded()} reports. Reads of a group whose position was dropped need the primary and
 * remain correct.
 */
public final class SessionState {
  /** The maximum number of positions in a session. */
  public static final int MAX_GROUPS = 64;

  /**
   * Retry delay for a stale view: in normal operation the views of two proxies differ by at most
   * this time.
   */
  private static final long VIEW_RETRY_AFTER_MILLIS = 200;

  private final PoolName pool;
  private final Map<GroupId, Position> positions;
  private final boolean folded;

  private SessionState(PoolName pool, LinkedHashMap<GroupId, Position> positions, boolean folded) {
    this.pool = Objects.requireNonNull(pool);
    this.folded = folded | dropOldest(positions);
    this.positions = Collections.unmodifiableMap(positions);
  }

  private static boolean dropOldest(LinkedHashMap<GroupId, Position> positions) {
    boolean dropped = positions.size() > MAX_GROUPS;
    Iterator<GroupId> oldest = positions.keySet().iterator();
    while (positions.size() > MAX_GROUPS) {
      oldest.next();
      oldest.remove();
    }
    return dropped;
  }

  /** Returns a session without positions. */
  public static SessionState empty(PoolName pool) {
    return new SessionState(pool, new LinkedHashMap<>(), false);
  }

  /** Returns a session with the given positions, the most recently accessed group last. */
  public static SessionState of(PoolName pool, Map<GroupId, Position> positions, boolean folded) {
    return new SessionState(pool, new LinkedHashMap<>(positions), folded);
  }

  /** Returns the pool of the session. */
  public PoolName pool() {
    return pool;
  }

  /** Returns the positions, the most recently accessed group last. */
  public Map<GroupId, Position> positions() {
    return positions;
  }

  /** Returns whether positions were dropped because of {@link #MAX_GROUPS}. */
  public boolean folded() {
    return folded;
  }

  /** Returns the requirement on a server that answers a read of the group. */
  public ReadRequirement requirement(GroupId group) {
    Position position = positions.get(group);
    if (position != null) {
      return ReadRequirement.atLeast(position);
    }
    return folded ? ReadRequirement.PRIMARY : ReadRequirement.NONE;
  }

  /**
   * Returns this session updated with an observed position.
   *
   * <p>A position that the group has lost is kept even if the observed position is of a later term,
   * so that the next request with the token reports the loss instead of hiding it. The request that
   * observed the position is answered normally, since it may be a write that ran.
   *
   * @param group the group in a view that contains the term of the observed position
   */
  public SessionState observe(GroupState group, Position observed) {
    LinkedHashMap<GroupId, Position> updated = new LinkedHashMap<>(positions);
    Position current = updated.remove(group.id());
    boolean keepCurrent =
        current != null && (group.isLost(current) || current.compareTo(observed) > 0);
    updated.put(group.id(), keepCurrent ? current : observed);
    return new SessionState(pool, updated, folded);
  }

  /**
   * Returns a session that requires what either session requires.
   *
   * <p>A caller with concurrent requests receives a token from each and sends all of them back.
   * Call {@link #checkNotLost(View)} on both sides first, since the later term of one side would
   * hide a lost position of the other.
   */
  public SessionState merge(SessionState other) {
    if (!pool.equals(other.pool)) {
      throw wrongPool(other.pool);
    }
    LinkedHashMap<GroupId, Position> merged = interleave(positions, other.positions);
    merged.replaceAll(
        (group, position) -> laterOf(position, other.positions.getOrDefault(group, Position.NONE)));
    merged.keySet().removeIf(group -> positionDropped(group) || other.positionDropped(group));
    return new SessionState(pool, merged, folded || other.folded);
  }

  /**
   * A side that dropped positions may have observed a later position of the group than the other
   * side holds.
   */
  private boolean positionDropped(GroupId group) {
    return requirement(group).primaryOnly();
  }

  /**
   * Preserves the access order of both sides, so that the least recently accessed groups of either
   * are dropped first.
   */
  private static LinkedHashMap<GroupId, Position> interleave(
      Map<GroupId, Position> first, Map<GroupId, Position> second) {
    List<Map.Entry<GroupId, Position>> firstEntries = new ArrayList<>(first.entrySet());
    List<Map.Entry<GroupId, Position>> secondEntries = new ArrayList<>(second.entrySet());
    LinkedHashMap<GroupId, Position> result = new LinkedHashMap<>();
    int length = Math.max(firstEntries.size(), secondEntries.size());
    for (int offsetFromEnd = length; offsetFromEnd >= 1; offsetFromEnd--) {
      putFromEnd(result, firstEntries, offsetFromEnd);
      putFromEnd(result, secondEntries, offsetFromEnd);
    }
    return result;
  }

  private static void putFromEnd(
      LinkedHashMap<GroupId, Position> result,
      List<Map.Entry<GroupId, Position>> entries,
      int offsetFromEnd) {
    int index = entries.size() - offsetFromEnd;
    if (index < 0) {
      return;
    }
    Map.Entry<GroupId, Position> entry = entries.get(index);
    Position current = result.remove(entry.getKey());
    result.put(
        entry.getKey(), current == null ? entry.getValue() : laterOf(current, entry.getValue()));
  }

  /**
   * Checks that the position of the session in one group was not lost in a failover.
   *
   * <p>A failover may lose the last entries of the old primary, and the new term then reuses their
   * indexes for other entries. Comparing positions alone would accept a server that never held the
   * entries that the session observed; the term history of the group distinguishes them.
   *
   * @throws AlderyardException with {@code SESSION_TAIL_LOST} if the position was lost, or with the
   *     retryable {@code NO_PRIMARY} if the session has observed a term that the view does not
   *     contain yet
   */
  public void checkNotLost(GroupState group) {
    Position current = positions.get(group.id());
    if (current == null) {
      return;
    }
    if (current.term() > group.term()) {
      throw AlderyardException.notRun(
          ErrorCode.NO_PRIMARY,
          "the session has observed term "
              + current.term()
              + " of group "
              + group.id()
              + "; the view of this proxy is at term "
              + group.term()
              + " and will be updated",
          VIEW_RETRY_AFTER_MILLIS);
    }
    if (group.isLost(current)) {
      throw AlderyardException.notRun(
          ErrorCode.SESSION_TAIL_LOST,
          "group "
              + group.id()
              + " lost position "
              + current
              + " of this session in a failover to term "
              + group.term()
              + "; start a new session to read the current data");
    }
  }

  /** Checks every position against the groups of the view; groups that were removed are ignored. */
  public void checkNotLost(View view) {
    for (GroupId group : positions.keySet()) {
      view.group(group).ifPresent(this::checkNotLost);
    }
  }

  private AlderyardException wrongPool(PoolName tokenPool) {
    return AlderyardException.notRun(
        ErrorCode.TOKEN_WRONG_POOL,
        "the session token belongs to pool " + tokenPool + "; expected a token of pool " + pool);
  }

  private static Position laterOf(Position first, Position second) {
    return first.compareTo(second) >= 0 ? first : second;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SessionState state
        && state.pool.equals(pool)
        && state.positions.equals(positions)
        && state.folded == folded;
  }

  @Override
  public int hashCode() {
    return Objects.hash(pool, positions, folded);
  }

  @Override
  public String toString() {
    return "SessionState[pool=" + pool + ", positions=" + positions + ", folded=" + folded + "]";
  }
}
