package org.alderyard.benchmarks.reads;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Actual state of a simulated group: write time of each entry and applied index of each replica.
 */
final class ModelGroup {
  /** Minimum delay from the primary to a replica: one network hop. */
  private static final long HOP_NANOS = 1_500_000;

  private final EventQueue queue;
  private final SplittableRandom random;
  private final long lagNanos;
  private final List<Long> writtenNanos = new ArrayList<>();
  private final long[] appliedIndex;
  private final long[] lastArrivalNanos;

  ModelGroup(EventQueue queue, SplittableRandom random, long lagNanos, int replicas) {
    this.queue = queue;
    this.random = random;
    this.lagNanos = lagNanos;
    appliedIndex = new long[replicas];
    lastArrivalNanos = new long[replicas];
  }

  /** Writes an entry; each replica applies entries in order after 80 to 120 % of the lag. */
  long write() {
    writtenNanos.add(queue.now());
    long index = writtenNanos.size();
    for (int replica = 0; replica < appliedIndex.length; replica++) {
      long lag = HOP_NANOS + (long) (lagNanos * (0.8 + 0.4 * random.nextDouble()));
      long arrival = Math.max(lastArrivalNanos[replica], queue.now() + lag);
      lastArrivalNanos[replica] = arrival;
      int replicaIndex = replica;
      queue.after(arrival - queue.now(), () -> appliedIndex[replicaIndex] = index);
    }
    return index;
  }

  long primaryIndex() {
    return writtenNanos.size();
  }

  long appliedIndex(int replica) {
    return appliedIndex[replica];
  }

  /** Returns the age of the oldest entry that a reader at this index misses; 0 if there is none. */
  long stalenessNanos(long index) {
    return index >= primaryIndex() ? 0 : queue.now() - writtenNanos.get((int) index);
  }
}
