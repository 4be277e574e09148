package org.alderyard.proxy.write;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.alderyard.backend.ServerConnection;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.view.ViewHolder;

/**
 * The write attempts in flight, which fail as soon as the view names a later term.
 *
 * <p>The connections to a stopped or isolated primary stay open without an answer. Without this
 * class, every write on them would block its caller until the deadline, although the group has a
 * new primary.
 */
final class InFlightWrites {
  private final ViewHolder views;
  private final Map<GroupId, Set<Attempt>> attemptsByGroup = new ConcurrentHashMap<>();

  InFlightWrites(ViewHolder views) {
    this.views = views;
    views.onChange(this::failReplaced);
  }

  /** Registers an attempt in a term; it is removed when its result completes. */
  Attempt register(GroupId group, long term) {
    Attempt attempt = new Attempt(group, term);
    Set<Attempt> attempts =
        attemptsByGroup.computeIfAbsent(group, key -> ConcurrentHashMap.newKeySet());
    attempts.add(attempt);
    attempt.result.whenComplete((answer, failure) -> attempts.remove(attempt));
    // The view may have changed after the primary was chosen and before the attempt was registered.
    failIfReplaced(attempt, views.current());
    return attempt;
  }

  private void failReplaced(View view) {
    attemptsByGroup
        .values()
        .forEach(attempts -> attempts.forEach(attempt -> failIfReplaced(attempt, view)));
  }

  private static void failIfReplaced(Attempt attempt, View view) {
    long term = view.group(attempt.group).map(GroupState::term).orElse(attempt.term);
    if (term > attempt.term) {
      attempt.fail();
    }
  }

  /** A write attempt on the primary of one term. */
  static final class Attempt {
    private enum Stage {
      WAITING,
      SENT,
      ENDED
    }

    private final GroupId group;
    private final long term;
    private final CompletableFuture<WriteAnswer> result = new CompletableFuture<>();
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.WAITING);
    private volatile ServerConnection connection;

    private Attempt(GroupId group, long term) {
      this.group = group;
      this.term = term;
    }

    /**
     * Returns the result, which fails when the primary is replaced before the attempt completes.
     */
    CompletableFuture<WriteAnswer> result() {
      return result;
    }

    /** Marks the write as sent on a connection; returns false if the attempt has already ended. */
    boolean tryMarkSent(ServerConnection usedConnection) {
      connection = usedConnection;
      return stage.compareAndSet(Stage.WAITING, Stage.SENT);
    }

    private void fail() {
      boolean sent = stage.getAndSet(Stage.ENDED) == Stage.SENT;
      String message = "the primary of term " + term + " of group " + group + " was replaced";
      boolean failed =
          result.completeExceptionally(
              new AlderyardException(
                  ErrorCode.PRIMARY_REPLACED,
                  sent ? Outcome.OUTCOME_UNKNOWN : Outcome.NOT_RUN,
                  message));
      if (failed && sent) {
        // The answer may still arrive on this connection, so the connection must not be reused.
        connection.close();
      }
    }
  }
}
