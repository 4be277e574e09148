package org.alderyard.proxy.write;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.proxy.view.ViewHolder;

/**
 * The writes that wait for the primary of a term, in a bounded queue per group.
 *
 * <p>A write that arrives during a failover waits for the new primary until its deadline. A write
 * beyond the bound fails immediately: an unbounded queue would exhaust the memory of the proxy and
 * overload the new primary.
 */
final class PrimaryWaitQueue {
  private static final long RETRY_AFTER_MILLIS = 200;

  private final ViewHolder views;
  private final WorkerPool workers;
  private final int maxPerGroup;
  // Guarded by this.
  private final Map<GroupId, List<QueuedWrite>> queues = new HashMap<>();

  PrimaryWaitQueue(ViewHolder views, WorkerPool workers, int maxPerGroup) {
    this.views = views;
    this.workers = workers;
    this.maxPerGroup = maxPerGroup;
    views.onChange(this::completeReady);
  }

  /** Returns the active primary of a group in the view, if its term is at least the given one. */
  static Optional<WriteTarget> findTarget(View view, GroupId group, long minTerm) {
    return view.group(group)
        .filter(state -> state.term() >= minTerm)
        .flatMap(
            state ->
                activePrimary(view, state).map(server -> new WriteTarget(server, state.term())));
  }

  private static Optional<ServerState> activePrimary(View view, GroupState group) {
    return group
        .primary()
        .flatMap(view::server)
        .filter(server -> server.status() == ServerStatus.ACTIVE);
  }

  /**
   * Waits for a primary whose term is at least the given one.
   *
   * @return the primary; fails as {@code NOT_RUN}, since a waiting write has not been sent to a
   *     server
   */
  CompletableFuture<WriteTarget> await(GroupId group, long minTerm, Duration timeout) {
    QueuedWrite queuedWrite = new QueuedWrite(minTerm, new CompletableFuture<>());
    synchronized (this) {
      Optional<WriteTarget> target = findTarget(views.current(), group, minTerm);
      if (target.isPresent()) {
        return CompletableFuture.completedFuture(target.get());
      }
      List<QueuedWrite> queue = queues.computeIfAbsent(group, key -> new ArrayList<>());
      if (queue.size() >= maxPerGroup) {
        return CompletableFuture.failedFuture(
            noPrimary(
                ErrorCode.OVERLOADED,
                group,
                "the limit of " + maxPerGroup + " queued writes is reached"));
      }
      queue.add(queuedWrite);
    }
    var timer =
        workers.schedule(
            timeout,
            () ->
                queuedWrite.result.completeExceptionally(
                    noPrimary(
                        ErrorCode.NO_PRIMARY, group, "none became available before the deadline")));
    queuedWrite.result.whenComplete(
        (target, failure) -> {
          timer.cancel(false);
          remove(group, queuedWrite);
        });
    return queuedWrite.result;
  }

  private synchronized void remove(GroupId group, QueuedWrite queuedWrite) {
    List<QueuedWrite> queue = queues.get(group);
    if (queue != null && queue.remove(queuedWrite) && queue.isEmpty()) {
      queues.remove(group);
    }
  }

  private void completeReady(View view) {
    Map<QueuedWrite, WriteTarget> resolved = new HashMap<>();
    synchronized (this) {
      queues.forEach(
          (group, queue) ->
              queue.forEach(
                  queuedWrite ->
                      findTarget(view, group, queuedWrite.minTerm)
                          .ifPresent(ready -> resolved.put(queuedWrite, ready))));
    }
    resolved.forEach((queuedWrite, target) -> queuedWrite.result.complete(target));
  }

  private static AlderyardException noPrimary(ErrorCode code, GroupId group, String detail) {
    return AlderyardException.notRun(
        code, "group " + group + " has no primary at the moment: " + detail, RETRY_AFTER_MILLIS);
  }

  private static final class QueuedWrite {
    private final long minTerm;
    private final CompletableFuture<WriteTarget> result;

    QueuedWrite(long minTerm, CompletableFuture<WriteTarget> result) {
      this.minTerm = minTerm;
      this.result = result;
    }
  }
}
