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

/** Hands out what changed in the view: deltas from any control host, snapshots from the leader. */
final class ViewService {
  /** The longest wait of one request. */
  static final Duration MAX_WAIT = Duration.ofSeconds(10);

  /**
   * The longest wait for a leader. An election after a start takes less; on a control host that is
   * cut off from the others, a host that wants a view must turn elsewhere soon.
   */
  static final Duration LEADER_WAIT = Duration.ofMillis(300);

  private final ControlLog controlLog;
  private final ControlState state;
  private final ViewFeed feed;

  ViewService(ControlLog controlLog, ControlState state, ViewFeed feed) {
    this.controlLog = controlLog;
    this.state = state;
    this.feed = feed;
  }

  CompletableFuture<FetchViewReply> fetch(FetchViewRequest request) {
    Duration asked = Duration.ofMillis(Integer.toUnsignedLong(request.getWaitMillis()));
    Duration wait = asked.compareTo(MAX_WAIT) > 0 ? MAX_WAIT : asked;
    Set<String> interest = new HashSet<>(request.getGroupsList());
    return feed.after(StateCodec.version(request.getRunning()), request.getChainHash(), wait)
        .thenCompose(
            news ->
                news.needsSnapshot()
                    ? snapshot(interest, wait)
                    : CompletableFuture.completedFuture(deltas(news.deltas(), interest)));
  }

  /**
   * Returns the whole view, once a leader is there to confirm it.
   *
   * <p>Guards against a storm at the worst moment: after a loss of power all hosts want a view, and
   * while the control hosts elected a leader on cold code, each host asked each of them ten times a
   * second, over connections of its own.
   */
  private CompletableFuture<FetchViewReply> snapshot(Set<String> interest, Duration wait) {
    Duration leaderWait = wait.compareTo(LEADER_WAIT) > 0 ? LEADER_WAIT : wait;
    return controlLog
        .leaderKnown(leaderWait)
        .thenCompose(done -> controlLog.readBarrier())
        .thenApply(
            done -> {
              ViewChange current = state.current();
              ViewSnapshot all = ViewCodec.snapshot(current.view());
              ViewSnapshot wanted =
                  all.toBuilder()
                      .clearObjects()
                      .addAllObjects(filter(all.getObjectsList(), interest))
                      .build();
              return FetchViewReply.newBuilder()
                  .setSnapshot(wanted)
                  .setChainHash(current.chainHash())
                  .build();
            });
  }

  private static FetchViewReply deltas(List<ViewDelta> deltas, Set<String> interest) {
    ViewDeltas.Builder wanted = ViewDeltas.newBuilder().setFiltered(!interest.isEmpty());
    for (ViewDelta delta : deltas) {
      wanted.addDeltas(
          interest.isEmpty()
              ? delta
              : delta.toBuilder()
                  .clearObjects()
                  .addAllObjects(filter(delta.getObjectsList(), interest))
                  .build());
    }
    return FetchViewReply.newBuilder().setDeltas(wanted).build();
  }

  private static List<ObjectState> filter(List<ObjectState> objects, Set<String> interest) {
    if (interest.isEmpty()) {
      return objects;
    }
    return objects.stream()
        .filter(
            object ->
                switch (object.getObjectCase()) {
                  case GROUP -> interest.contains(object.getGroup().getId());
                  case SERVER -> interest.contains(object.getServer().getGroup());
                  default -> true;
                })
        .toList();
  }
}
