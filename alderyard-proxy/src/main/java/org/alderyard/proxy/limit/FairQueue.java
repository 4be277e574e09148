package org.alderyard.proxy.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.alderyard.common.id.PoolName;

/**
 * A queue that serves pools in round-robin order, and the callers within a pool likewise. Not
 * thread-safe.
 *
 * <p>In a single FIFO queue the statements of one flooding caller would delay those of all other
 * callers past their deadlines. Here a statement waits for at most one statement of each other
 * caller per round.
 *
 * @param <T> the type of the work item
 */
final class FairQueue<T> {
  private final Map<PoolName, Map<Flow, ArrayDeque<QueuedStatement<T>>>> pools =
      new LinkedHashMap<>();
  private int size;
  private int flowCount;

  void add(QueuedStatement<T> statement) {
    Map<Flow, ArrayDeque<QueuedStatement<T>>> callers =
        pools.computeIfAbsent(statement.flow().pool(), pool -> new LinkedHashMap<>());
    ArrayDeque<QueuedStatement<T>> queue = callers.get(statement.flow());
    if (queue == null) {
      queue = new ArrayDeque<>();
      callers.put(statement.flow(), queue);
      flowCount++;
    }
    queue.addLast(statement);
    size++;
  }

  /** Removes and returns the next statement in round-robin order. */
  Optional<QueuedStatement<T>> poll() {
    if (size == 0) {
      return Optional.empty();
    }
    PoolName pool = pools.keySet().iterator().next();
    Map<Flow, ArrayDeque<QueuedStatement<T>>> callers = pools.remove(pool);
    Flow flow = callers.keySet().iterator().next();
    ArrayDeque<QueuedStatement<T>> queue = callers.remove(flow);
    final QueuedStatement<T> next = queue.removeFirst();
    size--;
    if (queue.isEmpty()) {
      flowCount--;
    } else {
      // Moves the flow to the end of the round.
      callers.put(flow, queue);
    }
    if (!callers.isEmpty()) {
      pools.put(pool, callers);
    }
    return Optional.of(next);
  }

  /**
   * Removes and returns the newest statement of the longest flow, provided that this flow stays at
   * least as long as the given flow with one more statement.
   */
  Optional<QueuedStatement<T>> displaceFor(Flow flow) {
    ArrayDeque<QueuedStatement<T>> longest = null;
    for (Map<Flow, ArrayDeque<QueuedStatement<T>>> callers : pools.values()) {
      for (ArrayDeque<QueuedStatement<T>> queue : callers.values()) {
        if (longest == null || queue.size() > longest.size()) {
          longest = queue;
        }
      }
    }
    if (longest == null || longest.size() <= lengthOf(flow) + 1) {
      return Optional.empty();
    }
    size--;
    return Optional.of(longest.removeLast());
  }

  /** Removes and returns all statements that match the condition. */
  List<QueuedStatement<T>> removeIf(Predicate<QueuedStatement<T>> condition) {
    List<QueuedStatement<T>> removed = new ArrayList<>();
    pools
        .values()
        .removeIf(
            callers -> {
              callers
                  .values()
                  .removeIf(
                      queue -> {
                        queue.removeIf(
                            statement -> condition.test(statement) && removed.add(statement));
                        return queue.isEmpty();
                      });
              return callers.isEmpty();
            });
    size -= removed.size();
    flowCount = pools.values().stream().mapToInt(Map::size).sum();
    return removed;
  }

  int lengthOf(Flow flow) {
    ArrayDeque<QueuedStatement<T>> queue = pools.getOrDefault(flow.pool(), Map.of()).get(flow);
    return queue == null ? 0 : queue.size();
  }

  /**
   * Returns the maximum number of queued statements that are served before a new statement of this
   * flow.
   */
  int maxServedBefore(Flow flow) {
    int ownLength = lengthOf(flow);
    int queues = ownLength == 0 ? flowCount + 1 : flowCount;
    return (int) Math.min(size, (ownLength + 1L) * queues - 1);
  }

  int size() {
    return size;
  }
}
