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
 * A queue that serves pools in turn, and the callers of a pool in turn. Not safe for several
 * threads.
 *
 * <p>Guards against one caller that floods: in one line its work would stand in front of everybody
 * else's until their deadlines are over. Here a caller waits for one statement of each other one.
 *
 * @param <T> the type of the work
 */
final class FairQueue<T> {
  private final Map<PoolName, Map<Flow, ArrayDeque<Entrant<T>>>> pools = new LinkedHashMap<>();
  private int size;
  private int flows;

  void add(Entrant<T> entrant) {
    Map<Flow, ArrayDeque<Entrant<T>>> callers =
        pools.computeIfAbsent(entrant.flow().pool(), pool -> new LinkedHashMap<>());
    ArrayDeque<Entrant<T>> line = callers.get(entrant.flow());
    if (line == null) {
      line = new ArrayDeque<>();
      callers.put(entrant.flow(), line);
      flows++;
    }
    line.addLast(entrant);
    size++;
  }

  /** Removes the next one. */
  Optional<Entrant<T>> poll() {
    if (size == 0) {
      return Optional.empty();
    }
    PoolName pool = pools.keySet().iterator().next();
    Map<Flow, ArrayDeque<Entrant<T>>> callers = pools.remove(pool);
    Flow flow = callers.keySet().iterator().next();
    ArrayDeque<Entrant<T>> line = callers.remove(flow);
    final Entrant<T> next = line.removeFirst();
    size--;
    if (line.isEmpty()) {
      flows--;
    } else {
      // Served once: to the end of the turn.
      callers.put(flow, line);
    }
    if (!callers.isEmpty()) {
      pools.put(pool, callers);
    }
    return Optional.of(next);
  }

  /** Removes the newest one of the longest line, if that line is longer than the given one's. */
  Optional<Entrant<T>> displaceFor(Flow flow) {
    ArrayDeque<Entrant<T>> longest = null;
    for (Map<Flow, ArrayDeque<Entrant<T>>> callers : pools.values()) {
      for (ArrayDeque<Entrant<T>> line : callers.values()) {
        if (longest == null || line.size() > longest.size()) {
          longest = line;
        }
      }
    }
    if (longest == null || longest.size() <= lengthOf(flow) + 1) {
      return Optional.empty();
    }
    size--;
    return Optional.of(longest.removeLast());
  }

  /** Removes all that match. */
  List<Entrant<T>> removeIf(Predicate<Entrant<T>> condition) {
    List<Entrant<T>> removed = new ArrayList<>();
    pools
        .values()
        .removeIf(
            callers -> {
              callers
                  .values()
                  .removeIf(
                      line -> {
                        line.removeIf(entrant -> condition.test(entrant) && removed.add(entrant));
                        return line.isEmpty();
                      });
              return callers.isEmpty();
            });
    size -= removed.size();
    flows = pools.values().stream().mapToInt(Map::size).sum();
    return removed;
  }

  int lengthOf(Flow flow) {
    ArrayDeque<Entrant<T>> line = pools.getOrDefault(flow.pool(), Map.of()).get(flow);
    return line == null ? 0 : line.size();
  }

  /** Returns how many are served before a new one of this flow, at most. */
  int aheadOf(Flow flow) {
    int own = lengthOf(flow);
    int lines = own == 0 ? flows + 1 : flows;
    return (int) Math.min(size, (own + 1L) * lines - 1);
  }

  int size() {
    return size;
  }
}
