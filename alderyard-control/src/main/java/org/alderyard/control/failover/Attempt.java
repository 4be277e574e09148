package org.alderyard.control.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * Responses that one host has received from the servers of a group in one term.
 *
 * <p>The responses are kept in memory only; the next host collects them again after this host
 * fails.
 *
 * @param term the term
 * @param startedAtMillis when this host started the term's failover, on its monotonic clock
 * @param unfencedPositions the positions of servers before they are fenced, requested before a
 *     planned hand-over
 * @param fencedPositions the positions of the servers that are fenced at the term
 * @param promoted whether the chosen server has confirmed that it took the term
 * @param followers the servers that have confirmed that they follow the primary of the term
 * @param highestTermSeen the highest term that any server has returned
 */
public record Attempt(
    long term,
    long startedAtMillis,
    Map<ServerId, Position> unfencedPositions,
    Map<ServerId, Position> fencedPositions,
    boolean promoted,
    Set<ServerId> followers,
    long highestTermSeen) {

  /** Copies the collections. */
  public Attempt {
    unfencedPositions = Map.copyOf(unfencedPositions);
    fencedPositions = Map.copyOf(fencedPositions);
    followers = Set.copyOf(followers);
  }

  /** Returns an attempt without any server responses. */
  public static Attempt begin(long term, long nowMillis) {
    return new Attempt(term, nowMillis, Map.of(), Map.of(), false, Set.of(), 0);
  }

  /**
   * Returns this attempt with a new start time; the server responses are kept, as they remain
   * valid.
   */
  public Attempt withStartTime(long nowMillis) {
    return new Attempt(
        term, nowMillis, unfencedPositions, fencedPositions, promoted, followers, highestTermSeen);
  }

  /** Returns this attempt with the position of a server that is not fenced. */
  public Attempt withUnfencedPosition(ServerId server, Position position) {
    return new Attempt(
        term,
        startedAtMillis,
        put(unfencedPositions, server, position),
        fencedPositions,
        promoted,
        followers,
        highestTermSeen);
  }

  /**
   * Returns this attempt with a server's response to a fence request; the position of a server that
   * is fenced at a higher term is not added.
   */
  public Attempt withFencedPosition(ServerId server, long serverTerm, Position position) {
    Map<ServerId, Position> updatedPositions =
        serverTerm == term ? put(fencedPositions, server, position) : fencedPositions;
    return new Attempt(
        term,
        startedAtMillis,
        unfencedPositions,
        updatedPositions,
        promoted,
        followers,
        Math.max(highestTermSeen, serverTerm));
  }

  /** Returns this attempt with the promotion confirmed by the chosen server. */
  public Attempt withPromoted() {
    return new Attempt(
        term,
        startedAtMillis,
        unfencedPositions,
        fencedPositions,
        true,
        followers,
        highestTermSeen);
  }

  /** Returns this attempt with a server that has confirmed that it follows the primary. */
  public Attempt withFollower(ServerId server) {
    Set<ServerId> updated = new HashSet<>(followers);
    updated.add(server);
    return new Attempt(
        term,
        startedAtMillis,
        unfencedPositions,
        fencedPositions,
        promoted,
        updated,
        highestTermSeen);
  }

  /** Returns this attempt without a follower that has restarted and needs a new follow request. */
  public Attempt withoutFollower(ServerId server) {
    Set<ServerId> remaining = new HashSet<>(followers);
    remaining.remove(server);
    return new Attempt(
        term,
        startedAtMillis,
        unfencedPositions,
        fencedPositions,
        promoted,
        remaining,
        highestTermSeen);
  }

  /**
   * Returns this attempt with the term of a server that refused a request because of a higher term.
   */
  public Attempt withHigherTerm(long serverTerm) {
    return new Attempt(
        term,
        startedAtMillis,
        unfencedPositions,
        fencedPositions,
        promoted,
        followers,
        Math.max(highestTermSeen, serverTerm));
  }

  private static Map<ServerId, Position> put(
      Map<ServerId, Position> positions, ServerId server, Position position) {
    Map<ServerId, Position> updated = new HashMap<>(positions);
    updated.put(server, position);
    return updated;
  }
}
