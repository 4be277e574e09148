package org.alderyard.proxy.callersession;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * Queue of the statements of one group that wait for a server, ordered by priority, then by
 * deadline.
 *
 * <p>Each statement that ends notifies the next queued statement. Notifying only a few at a time
 * keeps the queued statements from all competing at once for a slot or server that became
 * available.
 *
 * <p>Locking: the instance monitor is a leaf lock; retries run after it is released.
 */
final class WaitingStatements {
  /** What a queued statement waits for. */
  enum Need {
    /** The primary, or a free slot on it. */
    LEAD,
    /** A server that holds the position of a read, or a free slot on such a server. */
    READ
  }

  /**
   * A statement in the queue.
   *
   * @param need what the statement waits for
   * @param priority the priority; 0 is served first
   * @param deadlineNanos the deadline for the reply, on the monotonic clock
   * @param number the sequence number, which orders otherwise equal statements by arrival
   * @param retry retries the server search
   */
  record QueuedStatement(
      Need need, int priority, long deadlineNanos, long number, Runnable retry) {}

  private static final Comparator<QueuedStatement> ORDER =
      Comparator.comparingInt(QueuedStatement::priority)
          .thenComparingLong(QueuedStatement::deadlineNanos)
          .thenComparingLong(QueuedStatement::number);

  // Guarded by this.
  private final TreeSet<QueuedStatement> queue = new TreeSet<>(ORDER);
  private long lastNumber;

  /** Queues a statement; the returned entry is needed to remove it. */
  synchronized QueuedStatement add(Need need, int priority, long deadlineNanos, Runnable retry) {
    lastNumber++;
    QueuedStatement queued = new QueuedStatement(need, priority, deadlineNanos, lastNumber, retry);
    queue.add(queued);
    return queued;
  }

  /** Removes a statement; returns false if it was already notified or removed. */
  synchronized boolean remove(QueuedStatement queued) {
    return queue.remove(queued);
  }

  /** Removes and notifies the first statements with the given need, at most {@code maxCount}. */
  void notifyFirst(Need need, int maxCount) {
    removeFirst(need, maxCount).forEach(queued -> queued.retry().run());
  }

  private synchronized List<QueuedStatement> removeFirst(Need need, int maxCount) {
    List<QueuedStatement> removed = new ArrayList<>();
    Iterator<QueuedStatement> iterator = queue.iterator();
    while (removed.size() < maxCount && iterator.hasNext()) {
      QueuedStatement queued = iterator.next();
      if (queued.need() == need) {
        iterator.remove();
        removed.add(queued);
      }
    }
    return removed;
  }

  synchronized int size(Need need) {
    return (int) queue.stream().filter(queued -> queued.need() == need).count();
  }
}
