package org.alderyard.proxy.write;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.alderyard.backend.LogProgress;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.backend.ServerReport;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.view.ViewHolder;

/**
 * Waits until a majority of a group's servers hold a write.
 *
 * <p>A primary that fails right after it ran a write would otherwise lose an acknowledged write.
 * Any later promotion fences a majority first, so one server of that majority holds the write, and
 * the promotion chooses the longest log. A replica that was fenced at a higher term no longer
 * counts, so a primary that resumes after its replacement gets no write acknowledged.
 *
 * <p>A single long poll per replica and term covers all pending writes, so the cost grows with the
 * number of servers and not with the number of writes.
 */
public final class MajorityAcknowledger {
  private static final Duration POLL_WAIT = Duration.ofSeconds(1);
  private static final Duration RETRY_DELAY = Duration.ofMillis(20);

  private final ViewHolder views;
  private final ServerAdmin admin;
  private final WorkerPool workers;
  private final Map<TermKey, ReplicationProgress> progressByTerm = new ConcurrentHashMap<>();
  private final Set<PollKey> activePolls = ConcurrentHashMap.newKeySet();
  private final LongAdder pollCount = new LongAdder();

  /** Creates an acknowledger that follows the given views. */
  public MajorityAcknowledger(ViewHolder views, ServerAdmin admin, WorkerPool workers) {
    this.views = views;
    this.admin = admin;
    this.workers = workers;
    views.onChange(this::closeReplacedTerms);
  }

  /**
   * Waits for a write that the primary of a term has run.
   *
   * @param term the term of the primary that answered
   * @param index the index of the write in the log of the group
   * @return completes once a majority holds the write; fails as {@code OUTCOME_UNKNOWN} when the
   *     primary is replaced first or no majority confirms in time
   */
  public CompletableFuture<Void> await(GroupId group, long term, long index, Duration timeout) {
    TermKey key = new TermKey(group, term);
    CompletableFuture<Void> acknowledged = new CompletableFuture<>();
    ReplicationProgress progress =
        progressByTerm.computeIfAbsent(key, ignored -> new ReplicationProgress(term));
    boolean closed;
    synchronized (progress) {
      closed = progress.closed();
      if (!closed) {
        progress.add(index, acknowledged);
      }
    }
    if (closed) {
      // The term was closed between the lookup and the lock, so no other thread completes this
      // write.
      acknowledged.completeExceptionally(primaryReplaced(key));
      return acknowledged;
    }
    acknowledgeAndPoll(key, progress, views.current());
    if (acknowledged.isDone()) {
      return acknowledged;
    }
    var timer =
        workers.schedule(
            timeout, () -> acknowledged.completeExceptionally(majorityTimeout(timeout)));
    acknowledged.whenComplete(
        (ignored, failure) -> {
          timer.cancel(false);
          removePending(progress, index, acknowledged);
        });
    return acknowledged;
  }

  /** Returns the number of polls sent. */
  public long pollCount() {
    return pollCount.sum();
  }

  private static void removePending(
      ReplicationProgress progress, long index, CompletableFuture<Void> acknowledged) {
    synchronized (progress) {
      progress.remove(index, acknowledged);
    }
  }

  /** Completes the writes that a majority holds and polls the replicas for the others. */
  private void acknowledgeAndPoll(TermKey key, ReplicationProgress progress, View view) {
    long viewTerm = view.group(key.group).map(GroupState::term).orElse(0L);
    if (viewTerm != key.term) {
      closeTerm(key, progress);
      return;
    }
    List<ServerState> replicas = replicas(view, key.group);
    List<CompletableFuture<Void>> replicated;
    synchronized (progress) {
      replicated = progress.removeUpTo(progress.majorityIndex(ids(replicas)));
    }
    replicated.forEach(write -> write.complete(null));
    replicas.forEach(replica -> poll(key, progress, replica));
  }

  private static List<ServerState> replicas(View view, GroupId group) {
    ServerId primary = view.group(group).flatMap(GroupState::primary).orElse(null);
    return view.serversOf(group).stream().filter(server -> !server.id().equals(primary)).toList();
  }

  private static Collection<ServerId> ids(List<ServerState> servers) {
    return servers.stream().map(ServerState::id).toList();
  }

  private void poll(TermKey key, ReplicationProgress progress, ServerState replica) {
    PollKey poll = new PollKey(key, replica.id());
    OptionalLong next;
    synchronized (progress) {
      next = progress.nextPendingIndex(replica.id());
      if (next.isEmpty() || !activePolls.add(poll)) {
        return;
      }
    }
    pollCount.increment();
    admin
        .awaitPosition(
            replica.address(),
            new Position(key.term, next.getAsLong()),
            LogProgress.HELD,
            POLL_WAIT)
        .whenComplete((report, failure) -> handlePollResult(key, progress, poll, report));
  }

  private void handlePollResult(
      TermKey key, ReplicationProgress progress, PollKey poll, ServerReport report) {
    boolean advanced;
    synchronized (progress) {
      activePolls.remove(poll);
      advanced =
          report != null && report.server().equals(poll.replica) && progress.recordReport(report);
    }
    if (advanced) {
      acknowledgeAndPoll(key, progress, views.current());
    } else {
      // The delay avoids a busy loop on a server that is unreachable or answers immediately without
      // progress.
      workers.schedule(RETRY_DELAY, () -> acknowledgeAndPoll(key, progress, views.current()));
    }
  }

  private void closeReplacedTerms(View view) {
    progressByTerm.forEach(
        (key, progress) -> {
          if (view.group(key.group).map(GroupState::term).orElse(0L) != key.term) {
            closeTerm(key, progress);
          }
        });
  }

  private void closeTerm(TermKey key, ReplicationProgress progress) {
    List<CompletableFuture<Void>> pending;
    synchronized (progress) {
      pending = progress.close();
    }
    progressByTerm.remove(key, progress);
    pending.forEach(write -> write.completeExceptionally(primaryReplaced(key)));
  }

  private static AlderyardException primaryReplaced(TermKey key) {
    return new AlderyardException(
        ErrorCode.PRIMARY_REPLACED,
        Outcome.OUTCOME_UNKNOWN,
        "the write ran on the primary of term "
            + key.term
            + " of group "
            + key.group
            + ", which was replaced before a majority held the write");
  }

  private static AlderyardException majorityTimeout(Duration timeout) {
    return new AlderyardException(
        ErrorCode.NO_QUORUM,
        Outcome.OUTCOME_UNKNOWN,
        "the write ran, but no majority confirmed it within " + timeout.toMillis() + " ms");
  }

  private record TermKey(GroupId group, long term) {}

  private record PollKey(TermKey term, ServerId replica) {}
}
