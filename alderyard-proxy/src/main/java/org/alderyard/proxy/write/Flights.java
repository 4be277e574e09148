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
 * The attempts that wait for a primary's answer, ended as soon as the view names a later term.
 *
 * <p>Guards against a primary that is stopped or cut off: its connections stay open and silent, and
 * without this every write on them would wait until its deadline although the group has had a new
 * primary for seconds, and the callers would stand still with it.
 */
final class Flights {
  private final ViewHolder views;
  private final Map<GroupId, Set<Flight>> byGroup = new ConcurrentHashMap<>();

  Flights(ViewHolder views) {
    this.views = views;
    views.onChange(this::endReplaced);
  }

  /** Returns a new attempt in a term; it is forgotten when its result is complete. */
  Flight begin(GroupId group, long term) {
    Flight flight = new Flight(group, term);
    Set<Flight> flights = byGroup.computeIfAbsent(group, key -> ConcurrentHashMap.newKeySet());
    flights.add(flight);
    flight.result.whenComplete((answer, failure) -> flights.remove(flight));
    // The view may have changed between the choice of the primary and the registration above.
    endIfReplaced(flight, views.current());
    return flight;
  }

  private void endReplaced(View view) {
    byGroup.values().forEach(flights -> flights.forEach(flight -> endIfReplaced(flight, view)));
  }

  private static void endIfReplaced(Flight flight, View view) {
    long term = view.group(flight.group).map(GroupState::term).orElse(flight.term);
    if (term > flight.term) {
      flight.end();
    }
  }

  /** One attempt. */
  static final class Flight {
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

    private Flight(GroupId group, long term) {
      this.group = group;
      this.term = term;
    }

    /** Returns the outcome: the attempt's own, or that of its replacement if that came first. */
    CompletableFuture<WriteAnswer> result() {
      return result;
    }

    /** Notes that the write is about to be sent; false if the attempt has been ended before. */
    boolean trySend(ServerConnection used) {
      connection = used;
      return stage.compareAndSet(Stage.WAITING, Stage.SENT);
    }

    private void end() {
      boolean sent = stage.getAndSet(Stage.ENDED) == Stage.SENT;
      String message = "the primary of term " + term + " of group " + group + " was replaced";
      boolean first =
          result.completeExceptionally(
              new AlderyardException(
                  ErrorCode.PRIMARY_REPLACED,
                  sent ? Outcome.OUTCOME_UNKNOWN : Outcome.NOT_RUN,
                  message));
      if (first && sent) {
        // An answer may still come on it: nobody else may use the connection.
        connection.close();
      }
    }
  }
}
