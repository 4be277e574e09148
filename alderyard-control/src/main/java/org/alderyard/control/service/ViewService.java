package org.alderyard.control.service;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.alderyard.control.log.ControlLog;
import org.alderyard.control.state.ControlState;
import org.alderyard.control.state.ViewChange;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.alderyard.protocol.generated.state.ViewDeltas;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewCodec;

/** Serves updates of the view: deltas from any control host, snapshots from the leader only. */
final class ViewService {
  /** Maximum time that a request waits for an update. */
  static final Duration MAX_WAIT = Duration.ofSeconds(10);

  /**
   * Maximum time that a snapshot request waits for a leader to be known. An election after a start
   * takes less. A control host that is cut off from the others must fail soon, so that the
   * requesting host tries another one.
   */
  static final Duration MAX_LEADER_WAIT = Duration.ofMillis(300);

  private final ControlLog controlLog;
  private final ControlState state;
  private final ViewFeed feed;
  private final SnapshotReplies wholeViews =
      new SnapshotReplies(current -> snapshotReply(current, Set.of()));

  ViewService(ControlLog controlLog, ControlState state, ViewFeed feed) {
    this.controlLog = controlLog;
    this.state = state;
    this.feed = feed;
  }

  CompletableFuture<FetchViewReply> fetch(FetchViewRequest request) {
    Duration requestedWait = Duration.ofMillis(Integer.toUnsignedLong(request.getWaitMillis()));
    Duration wait = requestedWait.compareTo(MAX_WAIT) > 0 ? MAX_WAIT : requestedWait;
    Set<String> groupFilter = new HashSet<>(request.getGroupsList());
    return feed.awaitUpdate(StateCodec.version(request.getRunning()), request.getChainHash(), wait)
        .thenCompose(
            update ->
                update.needsSnapshot()
                    ? snapshot(groupFilter, wait)
                    : CompletableFuture.completedFuture(deltas(update.deltas(), groupFilter)));
  }

  /**
   * Returns a snapshot of the view once a leader is known and has confirmed it.
   *
   * <p>Waiting for the leader prevents a request storm: after a power loss all hosts need a view,
   * and while the control hosts elected a leader on cold code, each host polled each of them ten
   * times a second, over connections of its own.
   */
  private CompletableFuture<FetchViewReply> snapshot(Set<String> groupFilter, Duration wait) {
    Duration leaderWait = wait.compareTo(MAX_LEADER_WAIT) > 0 ? MAX_LEADER_WAIT : wait;
    return controlLog
        .whenLeaderKnown(leaderWait)
        .thenCompose(done -> controlLog.readBarrier())
        .thenApply(
            done ->
                groupFilter.isEmpty()
                    ? wholeViews.of(state.current())
                    : snapshotReply(state.current(), groupFilter));
  }

  private static FetchViewReply snapshotReply(ViewChange current, Set<String> groupFilter) {
    ViewSnapshot all = ViewCodec.snapshot(current.view());
    ViewSnapshot filtered =
        all.toBuilder()
            .clearObjects()
            .addAllObjects(filter(withoutSources(all.getObjectsList()).objects(), groupFilter))
            .build();
    return FetchViewReply.newBuilder()
        .setSnapshot(filtered)
        .setChainHash(current.chainHash())
        .build();
  }

  private static FetchViewReply deltas(List<ViewDelta> deltas, Set<String> groupFilter) {
    ViewDeltas.Builder sent = ViewDeltas.newBuilder();
    boolean anyFiltered = !groupFilter.isEmpty();
    int newestConfiguration = indexOfNewestConfiguration(deltas);
    for (int i = 0; i < deltas.size(); i++) {
      ViewDelta delta = deltas.get(i);
      StrippedObjects stripped =
          i < newestConfiguration
              ? withoutConfigurations(delta.getObjectsList())
              : withoutSources(delta.getObjectsList());
      anyFiltered |= stripped.changed();
      sent.addDeltas(
          groupFilter.isEmpty() && !stripped.changed()
              ? delta
              : delta.toBuilder()
                  .clearObjects()
                  .addAllObjects(filter(stripped.objects(), groupFilter))
                  .build());
    }
    return FetchViewReply.newBuilder().setDeltas(sent.setFiltered(anyFiltered)).build();
  }

  private static int indexOfNewestConfiguration(List<ViewDelta> deltas) {
    for (int i = deltas.size() - 1; i >= 0; i--) {
      if (deltas.get(i).getObjectsList().stream().anyMatch(ObjectState::hasConfiguration)) {
        return i;
      }
    }
    return -1;
  }

  /**
   * Removes configurations that a later delta of the same reply replaces. A host applies a reply as
   * a whole, and a host that lags by some large configurations has a small link.
   */
  private static StrippedObjects withoutConfigurations(List<ObjectState> objects) {
    List<ObjectState> others =
        objects.stream().filter(object -> !object.hasConfiguration()).toList();
    return new StrippedObjects(others, others.size() < objects.size());
  }

  private record StrippedObjects(List<ObjectState> objects, boolean changed) {}

  /**
   * Removes the source of configurations. It is more than half of a view, only control hosts return
   * it, and they read it from their own state.
   */
  private static StrippedObjects withoutSources(List<ObjectState> objects) {
    boolean hasSource = objects.stream().anyMatch(ViewService::hasSource);
    if (!hasSource) {
      return new StrippedObjects(objects, false);
    }
    return new StrippedObjects(objects.stream().map(ViewService::withoutSource).toList(), true);
  }

  private static boolean hasSource(ObjectState object) {
    return object.hasConfiguration() && !object.getConfiguration().getSource().isEmpty();
  }

  private static ObjectState withoutSource(ObjectState object) {
    return hasSource(object)
        ? object.toBuilder()
            .setConfiguration(object.getConfiguration().toBuilder().clearSource())
            .build()
        : object;
  }

  private static List<ObjectState> filter(List<ObjectState> objects, Set<String> groupFilter) {
    if (groupFilter.isEmpty()) {
      return objects;
    }
    return objects.stream()
        .filter(
            object ->
                switch (object.getObjectCase()) {
                  case GROUP -> groupFilter.contains(object.getGroup().getId());
                  case SERVER -> groupFilter.contains(object.getServer().getGroup());
                  default -> true;
                })
        .toList();
  }
}
