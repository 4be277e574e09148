package org.alderyard.control.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * What one host has learned from the servers of a group in one term; lost with the host, and then
 * learned again.
 *
 * @param term the term
 * @param startedAtMillis when this host took the term up, on its monotonic clock
 * @param held the positions of servers that are not fenced yet, asked before a planned hand-over
 * @param fenced the positions of the servers that are fenced at the term
 * @param promoted whether the chosen server said that it took the term
 * @param following the servers that said that they follow the primary of the term
 * @param highestTermSeen the highest term that a server answered with
 */
public record Attempt(
    long term,
    long startedAtMillis,
    Map<ServerId, Position> held,
    Map<ServerId, Position> fenced,
    boolean promoted,
    Set<ServerId> following,
    long highestTermSeen) {

  /** Copies. */
  public Attempt {
    held = Map.copyOf(held);
    fenced = Map.copyOf(fenced);
    following = Set.copyOf(following);
  }

  /** Returns the attempt of a host that knows nothing yet. */
  public static Attempt begin(long term, long nowMillis) {
    return new Attempt(term, nowMillis, Map.of(), Map.of(), false, Set.of(), 0);
  }

  /** Returns the attempt with its clock set back; what servers promised stays true. */
  public Attempt restarted(long nowMillis) {
    return new Attempt(term, nowMillis, held, fenced, promoted, following, highestTermSeen);
  }

  /** Returns the attempt with the position of a server that is not fenced. */
  public Attempt withHeld(ServerId server, Position position) {
    return new Attempt(
        term,
        startedAtMillis,
        put(held, server, position),
        fenced,
        promoted,
        following,
        highestTermSeen);
  }

  /** Returns the attempt with a server's answer to a fence; one fenced higher does not count. */
  public Attempt withFenced(ServerId server, long serverTerm, Position position) {
    Map<ServerId, Position> all = serverTerm == term ? put(fenced, server, position) : fenced;
    return new Attempt(
        term,
        startedAtMillis,
        held,
        all,
        promoted,
        following,
        Math.max(highestTermSeen, serverTerm));
  }

  /** Returns the attempt after the chosen server took the term. */
  public Attempt withPromoted() {
    return new Attempt(term, startedAtMillis, held, fenced, true, following, highestTermSeen);
  }

  /** Returns the attempt after a server said that it follows. */
  public Attempt withFollowing(ServerId server) {
    Set<ServerId> all = new HashSet<>(following);
    all.add(server);
    return new Attempt(term, startedAtMillis, held, fenced, promoted, all, highestTermSeen);
  }

  /** Returns the attempt after a server started again and has to be told whom to follow. */
  public Attempt withoutFollowing(ServerId server) {
    Set<ServerId> others = new HashSet<>(following);
    others.remove(server);
    return new Attempt(term, startedAtMillis, held, fenced, promoted, others, highestTermSeen);
  }

  /** Returns the attempt after a server refused because it has seen a higher term. */
  public Attempt withHigherTerm(long serverTerm) {
    return new Attempt(
        term,
        startedAtMillis,
        held,
        fenced,
        promoted,
        following,
        Math.max(highestTermSeen, serverTerm));
  }

  private static Map<ServerId, Position> put(
      Map<ServerId, Position> positions, ServerId server, Position position) {
    Map<ServerId, Position> all = new HashMap<>(positions);
    all.put(server, position);
    return all;
  }
}
