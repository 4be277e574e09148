package org.alderyard.control.promotion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;

/**
 * Holds the replicas that searches have paused and decides when they resume.
 *
 * <p>While a call for a promotion may still be executed, the replicas stay paused: a commit that
 * they acknowledged would be missing in the log of the promoted server. They resume when the group
 * has another primary, when a search ended without a call, or when the last call is too old to be
 * executed.
 *
 * <p>Not thread-safe; performs no I/O and reads no clock.
 */
final class PausedReplicas {
  /** The delay before the next attempt to resume a replica. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** The time after which a call without a response is no longer executed. */
  static final long CALL_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final class Entry {
    private final Map<ServerId, ServerState> servers = new LinkedHashMap<>();
    private final Set<ServerId> resuming = new HashSet<>();
    private Optional<ServerId> replacedPrimary = Optional.empty();
    private Optional<Long> lastCallNanos = Optional.empty();
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

  /** Returns whether a call for the promotion of a server of the group may still be executed. */
  boolean hasPendingCall(GroupId group, long nowNanos) {
    Entry entry = entries.get(group);
    return entry != null && hasPendingCall(entry, nowNanos);
  }

  private static boolean hasPendingCall(Entry entry, long nowNanos) {
    return entry.lastCallNanos.filter(at -> nowNanos - at < CALL_LIFETIME_NANOS).isPresent();
  }

  /** Records the start of a search; no replica of the group resumes before its end. */
  void searchStarted(GroupState group) {
    Entry entry = entries.computeIfAbsent(group.id(), id -> new Entry());
    if (!entry.replacedPrimary.equals(group.primary())) {
      entry.lastCallNanos = Optional.empty();
    }
    entry.replacedPrimary = group.primary();
    entry.searching = true;
  }

  /** Records the end of a search and the replicas that it paused. */
  void searchEnded(GroupId group, List<ServerState> paused, long nowNanos) {
    Entry entry = entries.computeIfAbsent(group, id -> new Entry());
    paused.forEach(server -> entry.servers.put(server.id(), server));
    entry.searching = false;
    entry.nextResumeNanos = nowNanos;
  }

  /** Records a call for the promotion of a server of the group. */
  void callSent(GroupId group, long nowNanos) {
    Entry entry = entries.get(group);
    if (entry != null) {
      entry.lastCallNanos = Optional.of(nowNanos);
    }
  }

  /** Adds replicas that an earlier leader may have paused. */
  void addUnknown(GroupState group, List<ServerState> replicas, long nowNanos) {
    Entry entry = entries.computeIfAbsent(group.id(), id -> new Entry());
    replicas.forEach(server -> entry.servers.putIfAbsent(server.id(), server));
    entry.nextResumeNanos = nowNanos + CALL_LIFETIME_NANOS;
  }

  /** Returns the replicas to resume now; each is in flight until {@link #resumed}. */
  List<Resumption> startResuming(View view, long nowNanos) {
    List<Resumption> due = new ArrayList<>();
    entries.forEach(
        (group, entry) -> {
          entry.servers.keySet().removeIf(server -> view.server(server).isEmpty());
          if (!mayResume(entry, view.group(group), nowNanos)) {
            return;
          }
          entry.nextResumeNanos = nowNanos + RETRY_DELAY_NANOS;
          for (ServerState server : entry.servers.values()) {
            if (isRunning(view, server.id()) && entry.resuming.add(server.id())) {
              due.add(new Resumption(group, server));
            }
          }
        });
    entries
        .values()
        .removeIf(
            entry ->
                entry.servers.isEmpty() && !entry.searching && !hasPendingCall(entry, nowNanos));
    return due;
  }

  private static boolean isRunning(View view, ServerId server) {
    return view.server(server)
        .map(ServerState::status)
        .filter(status -> status == ServerStatus.ACTIVE || status == ServerStatus.LEAVING)
        .isPresent();
  }

  private static boolean mayResume(Entry entry, Optional<GroupState> group, long nowNanos) {
    Optional<ServerId> primary = group.flatMap(GroupState::primary);
    boolean replaced = primary.isPresent() && !primary.equals(entry.replacedPrimary);
    return !entry.searching
        && nowNanos - entry.nextResumeNanos >= 0
        && (replaced || !hasPendingCall(entry, nowNanos));
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
