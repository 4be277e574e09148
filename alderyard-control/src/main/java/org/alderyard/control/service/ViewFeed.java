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
import org.alderyard.protocol.generated.state.ViewDelta;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewChain;

/** The last deltas, and the hosts that wait for the next one. */
public final class ViewFeed {
  /** Deltas that are kept for hosts that lag; a host that lags more takes a snapshot. */
  static final int DELTA_LIMIT = 4_096;

  /** About the largest answer, in bytes; a host that lags takes several. */
  static final int ANSWER_BYTES = 1 << 20;

  private static final Duration MIN_PAUSE = Duration.ofMillis(20);
  private static final Duration PAUSE_PER_HOST = Duration.ofNanos(200_000);

  private final WorkerPool workers;
  private final Object lock = new Object();
  // Guarded by lock. Deltas by the version from which they lead on.
  private ViewChange current = new ViewChange(View.EMPTY, ViewChain.START, Optional.empty());
  private final TreeMap<ViewVersion, ViewDelta> deltas = new TreeMap<>();
  private final Set<Waiter> waiting = Collections.newSetFromMap(new IdentityHashMap<>());
  private boolean pausing;

  private record Waiter(
      ViewVersion running, ByteString chainHash, CompletableFuture<ViewNews> answer) {}

  /** Creates a feed of the empty view. */
  public ViewFeed(WorkerPool workers) {
    this.workers = workers;
  }

  /** Takes a new view; called in the order of versions. */
  public void publish(ViewChange change) {
    synchronized (lock) {
      if (change.delta().isEmpty()) {
        deltas.clear();
      }
      change.delta().ifPresent(delta -> deltas.put(StateCodec.version(delta.getFrom()), delta));
      if (deltas.size() > DELTA_LIMIT) {
        deltas.pollFirstEntry();
      }
      current = change;
    }
    answerUnlessPausing();
  }

  /** Returns what is newer than the given version, or nothing when the wait is over. */
  CompletableFuture<ViewNews> after(ViewVersion running, ByteString chainHash, Duration wait) {
    Waiter waiter = new Waiter(running, chainHash, new CompletableFuture<>());
    boolean pending;
    synchronized (lock) {
      waiting.add(waiter);
      pending = !news(running, chainHash).isNothing();
    }
    var timer = workers.schedule(wait, () -> giveUp(waiter));
    waiter.answer().whenComplete((news, failure) -> timer.cancel(false));
    if (pending) {
      answerUnlessPausing();
    }
    return waiter.answer();
  }

  private void giveUp(Waiter waiter) {
    synchronized (lock) {
      waiting.remove(waiter);
    }
    waiter.answer().complete(news(waiter.running(), waiter.chainHash()));
  }

  /**
   * Answers those who wait for something that is there, then pauses.
   *
   * <p>Guards against a storm: 1,000 hosts join, each joining is a change for all others, and a
   * million answers keep the leader from the heartbeats, so that hosts lose their leases, which are
   * changes again. The pause grows with the number of hosts, so the pace of answers is bounded, and
   * changes in a pause go out together. A change after a quiet time goes out at once. The least
   * pause serves the return of a dozen hosts: each registers anew, and their views and heartbeats
   * took the core that callers of the leader waited for.
   */
  private void answerUnlessPausing() {
    List<Waiter> ready = new ArrayList<>();
    Duration pause;
    synchronized (lock) {
      if (pausing) {
        return;
      }
      for (Waiter waiter : waiting) {
        if (!news(waiter.running(), waiter.chainHash()).isNothing()) {
          ready.add(waiter);
        }
      }
      if (ready.isEmpty()) {
        return;
      }
      ready.forEach(waiting::remove);
      pausing = true;
      pause = MIN_PAUSE.plus(PAUSE_PER_HOST.multipliedBy(ready.size()));
    }
    workers.schedule(pause, this::endPause);
    for (Waiter waiter : ready) {
      workers.execute(() -> waiter.answer().complete(news(waiter.running(), waiter.chainHash())));
    }
  }

  private void endPause() {
    synchronized (lock) {
      pausing = false;
    }
    answerUnlessPausing();
  }

  /**
   * Returns what a host at this version needs.
   *
   * <p>Guards against a control host that was cut off for long: a host that restarted has no
   * version, and deltas from the start would build an old view for it. It gets a snapshot, which
   * only a confirmed leader hands out. A host that runs a version gets deltas from anybody whose
   * chain continues its own, which can only bring it forward.
   */
  private ViewNews news(ViewVersion running, ByteString chainHash) {
    synchronized (lock) {
      int order = running.compareTo(current.view().version());
      if (order > 0 || (order == 0 && chainHash.equals(current.chainHash()))) {
        return ViewNews.NOTHING;
      }
      ViewDelta next = deltas.get(running);
      boolean follows =
          next != null && !running.equals(ViewVersion.NONE) && ViewChain.continues(chainHash, next);
      return follows ? new ViewNews(false, from(running)) : ViewNews.SNAPSHOT;
    }
  }

  private List<ViewDelta> from(ViewVersion running) {
    SortedMap<ViewVersion, ViewDelta> tail = deltas.tailMap(running);
    List<ViewDelta> result = new ArrayList<>();
    Iterator<ViewDelta> rest = tail.values().iterator();
    int bytes = 0;
    while (rest.hasNext() && bytes < ANSWER_BYTES) {
      ViewDelta delta = rest.next();
      bytes += delta.getSerializedSize();
      result.add(delta);
    }
    return result;
  }
}
