package org.alderyard.control.service;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.state.ViewChange;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewChain;

/** Recent deltas of the view, and the pending requests of hosts that wait for the next one. */
public final class ViewFeed {
  /**
   * Number of deltas that are kept for hosts that lag; a host that lags further gets a snapshot.
   */
  static final int MAX_DELTAS = 4_096;

  /**
   * Maximum serialized size of the deltas that are kept, in bytes; the newest one is always kept.
   * Parsed, a delta takes more than that on the heap.
   */
  static final long MAX_DELTA_BYTES = 4L << 20;

  /**
   * Approximate maximum size of a reply besides its configuration, in bytes; a host that lags may
   * need several replies.
   */
  static final int TARGET_REPLY_BYTES = 1 << 20;

  private static final Duration MIN_PAUSE = Duration.ofMillis(20);
  private static final Duration PAUSE_PER_HOST = Duration.ofNanos(200_000);

  private final WorkerPool workers;
  private final Object lock = new Object();
  // Guarded by lock. The key of a delta is the version that it applies to.
  private ViewChange current = new ViewChange(View.EMPTY, ViewChain.START, Optional.empty());
  private final TreeMap<ViewVersion, ViewDelta> deltas = new TreeMap<>();
  private long deltaBytes;
  private final Set<PendingRequest> pendingRequests =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private boolean paused;

  private record PendingRequest(
      ViewVersion hostVersion, ByteString chainHash, CompletableFuture<ViewUpdate> reply) {}

  /** Creates a feed that starts with the empty view. */
  public ViewFeed(WorkerPool workers) {
    this.workers = workers;
  }

  /** Publishes a new view. Calls must come in the order of versions. */
  public void publish(ViewChange change) {
    synchronized (lock) {
      if (change.delta().isEmpty()) {
        deltas.clear();
        deltaBytes = 0;
      }
      change.delta().ifPresent(this::keep);
      current = change;
    }
    sendUpdatesUnlessPaused();
  }

  private void keep(ViewDelta delta) {
    deltas.put(StateCodec.version(delta.getFrom()), delta);
    deltaBytes += delta.getSerializedSize();
    while (deltas.size() > 1 && (deltas.size() > MAX_DELTAS || deltaBytes > MAX_DELTA_BYTES)) {
      deltaBytes -= deltas.pollFirstEntry().getValue().getSerializedSize();
    }
  }

  /**
   * Returns a future of the update from the given version. The update is empty when there is none
   * within the wait time.
   */
  CompletableFuture<ViewUpdate> awaitUpdate(
      ViewVersion hostVersion, ByteString chainHash, Duration wait) {
    PendingRequest request = new PendingRequest(hostVersion, chainHash, new CompletableFuture<>());
    boolean available;
    synchronized (lock) {
      pendingRequests.add(request);
      available = !updateFrom(hostVersion, chainHash).isEmpty();
    }
    var timer = workers.schedule(wait, () -> completeAfterWait(request));
    request.reply().whenComplete((update, failure) -> timer.cancel(false));
    if (available) {
      sendUpdatesUnlessPaused();
    }
    return request.reply();
  }

  private void completeAfterWait(PendingRequest request) {
    synchronized (lock) {
      pendingRequests.remove(request);
    }
    request.reply().complete(updateFrom(request.hostVersion(), request.chainHash()));
  }

  /**
   * Completes the pending requests for which there is an update, then pauses replies.
   *
   * <p>The pause prevents an overload of the leader: when 1,000 hosts join, each registration is an
   * update for all others. The resulting million replies would delay heartbeats, so that hosts lose
   * their leases, which causes further updates. The pause grows with the number of hosts, which
   * bounds the rate of replies, and updates during a pause are sent together. An update after a
   * period without updates is sent immediately.
   *
   * <p>The minimum pause covers the return of about a dozen hosts: each registers again, and their
   * views and heartbeats took the CPU core that the leader needed for its callers.
   */
  private void sendUpdatesUnlessPaused() {
    List<PendingRequest> readyRequests = new ArrayList<>();
    Duration pause;
    synchronized (lock) {
      if (paused) {
        return;
      }
      for (PendingRequest request : pendingRequests) {
        if (!updateFrom(request.hostVersion(), request.chainHash()).isEmpty()) {
          readyRequests.add(request);
        }
      }
      if (readyRequests.isEmpty()) {
        return;
      }
      readyRequests.forEach(pendingRequests::remove);
      paused = true;
      pause = MIN_PAUSE.plus(PAUSE_PER_HOST.multipliedBy(readyRequests.size()));
    }
    workers.schedule(pause, this::endPause);
    for (PendingRequest request : readyRequests) {
      workers.execute(
          () -> request.reply().complete(updateFrom(request.hostVersion(), request.chainHash())));
    }
  }

  private void endPause() {
    synchronized (lock) {
      paused = false;
    }
    sendUpdatesUnlessPaused();
  }

  /**
   * Returns the update for a host at the given version.
   *
   * <p>A restarted host has no version, and deltas from the start could build an outdated view if
   * they come from a control host that was cut off for long. It gets a snapshot, which only a
   * confirmed leader serves. A host with a version may get deltas from any control host whose chain
   * continues its own, because these can only move it forward.
   */
  private ViewUpdate updateFrom(ViewVersion hostVersion, ByteString chainHash) {
    synchronized (lock) {
      int order = hostVersion.compareTo(current.view().version());
      if (order > 0 || (order == 0 && chainHash.equals(current.chainHash()))) {
        return ViewUpdate.NONE;
      }
      ViewDelta next = deltas.get(hostVersion);
      boolean continuesChain =
          next != null
              && !hostVersion.equals(ViewVersion.NONE)
              && ViewChain.continues(chainHash, next);
      return continuesChain ? new ViewUpdate(false, deltasFrom(hostVersion)) : ViewUpdate.SNAPSHOT;
    }
  }

  private List<ViewDelta> deltasFrom(ViewVersion hostVersion) {
    SortedMap<ViewVersion, ViewDelta> tail = deltas.tailMap(hostVersion);
    List<ViewDelta> result = new ArrayList<>();
    Iterator<ViewDelta> rest = tail.values().iterator();
    long bytes = 0;
    while (rest.hasNext() && bytes < TARGET_REPLY_BYTES) {
      ViewDelta delta = rest.next();
      bytes += bytesBesidesConfigurations(delta);
      result.add(delta);
    }
    return result;
  }

  /** A reply contains only the newest configuration of its deltas, however many there are. */
  private static long bytesBesidesConfigurations(ViewDelta delta) {
    return delta.getObjectsList().stream()
        .filter(object -> !object.hasConfiguration())
        .mapToLong(ObjectState::getSerializedSize)
        .sum();
  }
}
