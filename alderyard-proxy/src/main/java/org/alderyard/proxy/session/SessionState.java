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
 * What a session has seen: one position for each group, the group touched last at the end.
 *
 * <p>Immutable. It holds at most {@link #MAX_GROUPS} positions; older ones are dropped and the
 * state says so by {@link #folded()}, which costs replica reads and never correctness.
 */
public final class SessionState {
  /** The most positions that a session carries. */
  public static final int MAX_GROUPS = 64;

  /** How long a view lags behind one that another proxy acts on, at most in ordinary times. */
  private static final long VIEW_LAG_MILLIS = 200;

  private final PoolName pool;
  private final Map<GroupId, Position> positions;
  private final boolean folded;

  private SessionState(PoolName pool, LinkedHashMap<GroupId, Position> positions, boolean folded) {
    this.pool = Objects.requireNonNull(pool);
    this.folded = folded | trim(positions);
    this.positions = Collections.unmodifiableMap(positions);
  }

  private static boolean trim(LinkedHashMap<GroupId, Position> positions) {
    boolean trimmed = positions.size() > MAX_GROUPS;
    Iterator<GroupId> oldest = positions.keySet().iterator();
    while (positions.size() > MAX_GROUPS) {
      oldest.next();
      oldest.remove();
    }
    return trimmed;
  }

  /** Returns a session that has seen nothing. */
  public static SessionState empty(PoolName pool) {
    return new SessionState(pool, new LinkedHashMap<>(), false);
  }

  /** Returns a session with the given positions, the group touched last at the end. */
  public static SessionState of(PoolName pool, Map<GroupId, Position> positions, boolean folded) {
    return new SessionState(pool, new LinkedHashMap<>(positions), folded);
  }

  /** Returns the pool of the session. */
  public PoolName pool() {
    return pool;
  }

  /** Returns the positions, the group touched last at the end. */
  public Map<GroupId, Position> positions() {
    return positions;
  }

  /** Returns whether positions were dropped for size. */
  public boolean folded() {
    return folded;
  }

  /** Returns what a server must have applied to answer a read of the group. */
  public Requirement requirement(GroupId group) {
    Position position = positions.get(group);
    if (position != null) {
      return Requirement.atLeast(position);
    }
    return folded ? Requirement.PRIMARY : Requirement.NONE;
  }

  /**
   * Returns the session after it saw a position.
   *
   * <p>A position that the group has lost stays, although the new one is of a later term: the next
   * request with the token tells the loss, which the new position would hide. The request that saw
   * it is answered all the same, since it may be a write that ran.
   *
   * @param group the group in a view that knows the term of the position
   */
  public SessionState observe(GroupState group, Position seen) {
    LinkedHashMap<GroupId, Position> next = new LinkedHashMap<>(positions);
    Position held = next.remove(group.id());
    boolean keep = held != null && (group.lost(held) || held.compareTo(seen) > 0);
    next.put(group.id(), keep ? held : seen);
    return new SessionState(pool, next, folded);
  }

  /**
   * Returns a session that has seen what both have seen.
   *
   * <p>A caller with requests in flight together gets a token from each; it sends all of them back.
   * The caller of this method runs {@link #checkTail(View)} on both sides first, since the later
   * term of one side would hide a position of the other one that was lost.
   */
  public SessionState merge(SessionState other) {
    if (!pool.equals(other.pool)) {
      throw wrongPool(other.pool);
    }
    LinkedHashMap<GroupId, Position> merged = interleave(positions, other.positions);
    merged.replaceAll(
        (group, position) -> later(position, other.positions.getOrDefault(group, Position.NONE)));
    merged.keySet().removeIf(group -> foldedAway(group) || other.foldedAway(group));
    return new SessionState(pool, merged, folded || other.folded);
  }

  /** A side that dropped positions may have seen more of the group than the other side holds. */
  private boolean foldedAway(GroupId group) {
    return requirement(group).primaryOnly();
  }

  /** Keeps the recency order of both sides, so that the oldest of either one is dropped first. */
  private static LinkedHashMap<GroupId, Position> interleave(
      Map<GroupId, Position> first, Map<GroupId, Position> second) {
    List<Map.Entry<GroupId, Position>> left = new ArrayList<>(first.entrySet());
    List<Map.Entry<GroupId, Position>> right = new ArrayList<>(second.entrySet());
    LinkedHashMap<GroupId, Position> result = new LinkedHashMap<>();
    int steps = Math.max(left.size(), right.size());
    for (int behindLast = steps; behindLast >= 1; behindLast--) {
      putFromEnd(result, left, behindLast);
      putFromEnd(result, right, behindLast);
    }
    return result;
  }

  private static void putFromEnd(
      LinkedHashMap<GroupId, Position> result,
      List<Map.Entry<GroupId, Position>> entries,
      int behindLast) {
    int at = entries.size() - behindLast;
    if (at < 0) {
      return;
    }
    Map.Entry<GroupId, Position> entry = entries.get(at);
    Position held = result.remove(entry.getKey());
    result.put(entry.getKey(), held == null ? entry.getValue() : later(held, entry.getValue()));
  }

  /**
   * Checks the position that the session holds in one group against the terms of the group.
   *
   * <p>Guards against a failover that lost the tail of the old primary: an index of the old term is
   * reached again by other entries of the new term, so comparing positions alone would call a
   * server up to date that never held what the session saw. The history of terms tells both apart.
   *
   * @throws AlderyardException with {@code SESSION_TAIL_LOST} if the position was lost, or with the
   *     retryable {@code NO_PRIMARY} if the session has seen a term that the view does not know yet
   */
  public void checkTail(GroupState group) {
    Position held = positions.get(group.id());
    if (held == null) {
      return;
    }
    if (held.term() > group.term()) {
      throw AlderyardException.notRun(
          ErrorCode.NO_PRIMARY,
          "the session has seen term "
              + held.term()
              + " of group "
              + group.id()
              + "; this proxy knows term "
              + group.term()
              + " and waits for the newer view",
          VIEW_LAG_MILLIS);
    }
    if (group.lost(held)) {
      throw AlderyardException.notRun(
          ErrorCode.SESSION_TAIL_LOST,
          "group "
              + group.id()
              + " lost position "
              + held
              + " of this session in a failover to term "
              + group.term()
              + "; start a new session to read what the group holds now");
    }
  }

  /** Checks every position against the groups of the view; groups that were removed are ignored. */
  public void checkTail(View view) {
    for (GroupId group : positions.keySet()) {
      view.group(group).ifPresent(this::checkTail);
    }
  }

  private AlderyardException wrongPool(PoolName found) {
    return AlderyardException.notRun(
        ErrorCode.TOKEN_WRONG_POOL,
        "the session token belongs to pool " + found + "; accepted is one of pool " + pool);
  }

  private static Position later(Position left, Position right) {
    return left.compareTo(right) >= 0 ? left : right;
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
