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
import org.alderyard.backend.Progress;
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
 * <p>Guards against the loss of an acknowledged write: a primary that fails right after it ran a
 * write takes the write with it. Any later promotion fences a majority first, so one server of that
 * majority holds the write, and the promotion chooses the longest log. A replica that was fenced at
 * a higher term no longer counts, so a primary that slept through its replacement gets nothing
 * acknowledged when it wakes.
 *
 * <p>One long poll for each replica and term covers all writes that wait for it, so the cost
 * follows the number of servers and not the number of writes.
 */
public final class MajorityAcknowledger {
  private static final Duration POLL_WAIT = Duration.ofSeconds(1);
  private static final Duration RETRY_DELAY = Duration.ofMillis(20);

  private final ViewHolder views;
  private final ServerAdmin admin;
  private final WorkerPool workers;
  private final Map<TermKey, HeldIndexes> tables = new ConcurrentHashMap<>();
  private final Set<PollKey> polling = ConcurrentHashMap.newKeySet();
  private final LongAdder polls = new LongAdder();

  /** Creates an acknowledger that follows the given views. */
  public MajorityAcknowledger(ViewHolder views, ServerAdmin admin, WorkerPool workers) {
    this.views = views;
    this.admin = admin;
    this.workers = workers;
    views.onChange(this::dropReplacedTerms);
  }

  /**
   * Waits for a write that the primary of a term has run.
   *
   * @param term the term of the primary that answered
   * @param index the index of the write in the log of the group
   * @return done once a majority holds the write; fails as {@code OUTCOME_UNKNOWN} when the primary
   *     was replaced meanwhile or no majority confirmed in time
   */
  public CompletableFuture<Void> await(GroupId group, long term, long index, Duration timeout) {
    TermKey key = new TermKey(group, term);
    CompletableFuture<Void> held = new CompletableFuture<>();
    HeldIndexes table = tables.computeIfAbsent(key, absent -> new HeldIndexes(term));
    boolean dropped;
    synchronized (table) {
      dropped = table.closed();
      if (!dropped) {
        table.add(index, held);
      }
    }
    if (dropped) {
      // The term was dropped between the look-up and the lock; nobody else would end this write.
      held.completeExceptionally(replaced(key));
      return held;
    }
    advance(key, table, views.current());
    if (held.isDone()) {
      return held;
    }
    var timer = workers.schedule(timeout, () -> held.completeExceptionally(noMajority(timeout)));
    held.whenComplete(
        (done, failure) -> {
          timer.cancel(false);
          forget(table, index, held);
        });
    return held;
  }

  /** Returns how many polls were sent. */
  public long polls() {
    return polls.sum();
  }

  private static void forget(HeldIndexes table, long index, CompletableFuture<Void> held) {
    synchronized (table) {
      table.remove(index, held);
    }
  }

  /** Completes what a majority holds, and asks for the rest. */
  private void advance(TermKey key, HeldIndexes table, View view) {
    long viewTerm = view.group(key.group).map(GroupState::term).orElse(0L);
    if (viewTerm != key.term) {
      drop(key, table);
      return;
    }
    List<ServerState> replicas = replicas(view, key.group);
    List<CompletableFuture<Void>> done;
    synchronized (table) {
      done = table.takeUpTo(table.majorityIndex(ids(replicas)));
    }
    done.forEach(write -> write.complete(null));
    replicas.forEach(replica -> poll(key, table, replica));
  }

  private static List<ServerState> replicas(View view, GroupId group) {
    ServerId primary = view.group(group).flatMap(GroupState::primary).orElse(null);
    return view.serversOf(group).stream().filter(s -> !s.id().equals(primary)).toList();
  }

  private static Collection<ServerId> ids(List<ServerState> servers) {
    return servers.stream().map(ServerState::id).toList();
  }

  private void poll(TermKey key, HeldIndexes table, ServerState replica) {
    PollKey poll = new PollKey(key, replica.id());
    OptionalLong next;
    synchronized (table) {
      next = table.nextFor(replica.id());
      if (next.isEmpty() || !polling.add(poll)) {
        return;
      }
    }
    polls.increment();
    admin
        .awaitPosition(
            replica.address(), new Position(key.term, next.getAsLong()), Progress.HELD, POLL_WAIT)
        .whenComplete((report, failure) -> polled(key, table, poll, report));
  }

  private void polled(TermKey key, HeldIndexes table, PollKey poll, ServerReport report) {
    boolean progress;
    synchronized (table) {
      polling.remove(poll);
      progress = report != null && report.server().equals(poll.replica) && table.report(report);
    }
    if (progress) {
      advance(key, table, views.current());
    } else {
      // A server that can't be reached, or answers at once without progress, would be asked again
      // and again without a pause.
      workers.schedule(RETRY_DELAY, () -> advance(key, table, views.current()));
    }
  }

  private void dropReplacedTerms(View view) {
    tables.forEach(
        (key, table) -> {
          if (view.group(key.group).map(GroupState::term).orElse(0L) != key.term) {
            drop(key, table);
          }
        });
  }

  private void drop(TermKey key, HeldIndexes table) {
    List<CompletableFuture<Void>> waiting;
    synchronized (table) {
      waiting = table.close();
    }
    tables.remove(key, table);
    waiting.forEach(write -> write.completeExceptionally(replaced(key)));
  }

  private static AlderyardException replaced(TermKey key) {
    return new AlderyardException(
        ErrorCode.PRIMARY_REPLACED,
        Outcome.OUTCOME_UNKNOWN,
        "the write ran on the primary of term "
            + key.term
            + " of group "
            + key.group
            + ", which was replaced before a majority held the write");
  }

  private static AlderyardException noMajority(Duration timeout) {
    return new AlderyardException(
        ErrorCode.NO_QUORUM,
        Outcome.OUTCOME_UNKNOWN,
        "the write ran, but no majority confirmed it within " + timeout.toMillis() + " ms");
  }

  private record TermKey(GroupId group, long term) {}

  private record PollKey(TermKey term, ServerId replica) {}
}
