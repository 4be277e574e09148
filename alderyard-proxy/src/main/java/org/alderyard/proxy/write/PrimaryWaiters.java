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
 * The writes that wait for the primary of a term, in a bounded queue for each group.
 *
 * <p>A failover takes a moment; a write that comes meanwhile and has time waits for the new primary
 * in place of failing. Past the bound a write is refused at once: a queue without one would hold
 * the memory of the proxy, and all of it would rush to the new primary.
 */
final class PrimaryWaiters {
  private static final long RETRY_AFTER_MILLIS = 200;

  private final ViewHolder views;
  private final WorkerPool workers;
  private final int maxPerGroup;
  // Guarded by this.
  private final Map<GroupId, List<Waiter>> waiting = new HashMap<>();

  PrimaryWaiters(ViewHolder views, WorkerPool workers, int maxPerGroup) {
    this.views = views;
    this.workers = workers;
    this.maxPerGroup = maxPerGroup;
    views.onChange(this::release);
  }

  /** Returns the target of writes in this view, if the group has one of at least this term. */
  static Optional<WriteTarget> target(View view, GroupId group, long minTerm) {
    return view.group(group)
        .filter(state -> state.term() >= minTerm)
        .flatMap(state -> activePrimary(view, state).map(s -> new WriteTarget(s, state.term())));
  }

  private static Optional<ServerState> activePrimary(View view, GroupState group) {
    return group
        .primary()
        .flatMap(view::server)
        .filter(server -> server.status() == ServerStatus.ACTIVE);
  }

  /**
   * Waits for a primary.
   *
   * @return the primary; fails as {@code NOT_RUN}: a write that waits here was given to no server
   */
  CompletableFuture<WriteTarget> await(GroupId group, long minTerm, Duration timeout) {
    Waiter waiter = new Waiter(minTerm, new CompletableFuture<>());
    synchronized (this) {
      Optional<WriteTarget> target = target(views.current(), group, minTerm);
      if (target.isPresent()) {
        return CompletableFuture.completedFuture(target.get());
      }
      List<Waiter> queue = waiting.computeIfAbsent(group, key -> new ArrayList<>());
      if (queue.size() >= maxPerGroup) {
        return CompletableFuture.failedFuture(
            noPrimary(ErrorCode.OVERLOADED, group, "and " + maxPerGroup + " writes wait already"));
      }
      queue.add(waiter);
    }
    var timer =
        workers.schedule(
            timeout,
            () ->
                waiter.found.completeExceptionally(
                    noPrimary(ErrorCode.NO_PRIMARY, group, "and got none in time")));
    waiter.found.whenComplete(
        (target, failure) -> {
          timer.cancel(false);
          remove(group, waiter);
        });
    return waiter.found;
  }

  private synchronized void remove(GroupId group, Waiter waiter) {
    List<Waiter> queue = waiting.get(group);
    if (queue != null && queue.remove(waiter) && queue.isEmpty()) {
      waiting.remove(group);
    }
  }

  private void release(View view) {
    Map<Waiter, WriteTarget> found = new HashMap<>();
    synchronized (this) {
      waiting.forEach(
          (group, queue) ->
              queue.forEach(
                  waiter ->
                      target(view, group, waiter.minTerm).ifPresent(t -> found.put(waiter, t))));
    }
    found.forEach((waiter, target) -> waiter.found.complete(target));
  }

  private static AlderyardException noPrimary(ErrorCode code, GroupId group, String detail) {
    return AlderyardException.notRun(
        code, "group " + group + " has no primary at the moment, " + detail, RETRY_AFTER_MILLIS);
  }

  private static final class Waiter {
    private final long minTerm;
    private final CompletableFuture<WriteTarget> found;

    Waiter(long minTerm, CompletableFuture<WriteTarget> found) {
      this.minTerm = minTerm;
      this.found = found;
    }
  }
}
