package org.alderyard.control.promotion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;

/**
 * Holds the replicas that searches have paused and decides when they resume.
 *
 * <p>While a call for a promotion may still be executed, the replicas stay paused, however long
 * that takes: a commit that they acknowledged would be missing in the log of the promoted server.
 * They resume when the group has another primary, or when no call is pending.
 *
 * <p>Not thread-safe; performs no I/O and reads no clock.
 */
final class PausedReplicas {
  /** The delay before the next attempt to resume a replica. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** The time after which the search of an earlier leader has sent all its calls. */
  static final long EARLIER_SEARCH_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final class Entry {
    private final Map<ServerId, ServerState> servers = new LinkedHashMap<>();
    private final Set<ServerId> resuming = new HashSet<>();
    private boolean searching;
    private long nextResumeNanos;
  }

  /** A replica to resume. */
  record Resumption(GroupId group, ServerState server) {}

  private final Map<GroupId, Entry> entries = new HashMap<>();

  /** Returns whether a resumption is in flight, which must not overtake a new pause. */
  boolean isResuming(GroupId group) {
    Entry entry = entries.get(group);
    return entry != null && !entry.resuming.isEmpty();
  }

  /** Returns whether a search of the group has not ended; a second one would undo its pauses. */
  boolean isSearching(GroupId group) {
    Entry entry = entries.get(group);
    return entry != null && entry.searching;
  }

  /** Records the start of a search; no replica of the group resumes before its end. */
  void searchStarted(GroupId group) {
    entries.computeIfAbsent(group, id -> new Entry()).searching = true;
  }

  /** Records the end of a search and the replicas that it paused. */
  void searchEnded(GroupId group, List<ServerState> paused, long nowNanos) {
    Entry entry = entries.computeIfAbsent(group, id -> new Entry());
    paused.forEach(server -> entry.servers.put(server.id(), server));
    entry.searching = false;
    entry.nextResumeNanos = nowNanos;
  }

  /** Adds a replica that was paused beside a search, since it started while that ran. */
  void add(GroupId group, ServerState server, long nowNanos) {
    Entry known = entries.get(group);
    if (known != null) {
      known.servers.put(server.id(), server);
      return;
    }
    Entry entry = new Entry();
    entry.servers.put(server.id(), server);
    entry.nextResumeNanos = nowNanos;
    entries.put(group, entry);
  }

  /** Adds replicas that an earlier leader may have paused. */
  void addUnknown(GroupId group, List<ServerState> replicas, long nowNanos) {
    Entry entry = entries.computeIfAbsent(group, id -> new Entry());
    replicas.forEach(server -> entry.servers.putIfAbsent(server.id(), server));
    entry.nextResumeNanos = nowNanos + EARLIER_SEARCH_NANOS;
  }

  /**
   * Returns the replicas to resume now; each is in flight until {@link #resumed}.
   *
   * @param hasPendingCall whether a call for the promotion of a server of the group may still be
   *     executed
   */
  List<Resumption> startResuming(View view, Predicate<GroupId> hasPendingCall, long nowNanos) {
    List<Resumption> due = new ArrayList<>();
    entries.forEach(
        (group, entry) -> {
          entry.servers.keySet().removeIf(server -> view.server(server).isEmpty());
          if (!isDue(entry, nowNanos) || hasPendingCall.test(group)) {
            return;
          }
          entry.nextResumeNanos = nowNanos + RETRY_DELAY_NANOS;
          for (ServerState server : entry.servers.values()) {
            if (isRunning(view, server.id()) && entry.resuming.add(server.id())) {
              due.add(new Resumption(group, server));
            }
          }
        });
    entries.values().removeIf(entry -> entry.servers.isEmpty() && !entry.searching);
    return due;
  }

  private static boolean isRunning(View view, ServerId server) {
    return view.server(server)
        .map(ServerState::status)
        .filter(status -> status == ServerStatus.ACTIVE || status == ServerStatus.LEAVING)
        .isPresent();
  }

  private static boolean isDue(Entry entry, long nowNanos) {
    return !entry.searching && nowNanos - entry.nextResumeNanos >= 0;
  }

  /** Records the end of an attempt to resume; a failed one is repeated. */
  void resumed(GroupId group, ServerId server, boolean succeeded) {
    Entry entry = entries.get(group);
    if (entry == null) {
      return;
    }
    entry.resuming.remove(server);
    if (succeeded) {
      entry.servers.remove(server);
    }
  }
}
