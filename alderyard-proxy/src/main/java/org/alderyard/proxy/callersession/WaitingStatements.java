package org.alderyard.proxy.callersession;

import java.util.List;
import java.util.Objects;
import org.alderyard.proxy.admission.AdmissionRequest;

/**
 * The statements of one group that wait for a server, in the order of a {@link StatementQueue}.
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
    READ;

    /** Returns the need of a statement. */
    static Need of(AdmissionRequest request) {
      return request.needsPrimary() ? LEAD : READ;
    }
  }

  /**
   * A statement in the queue.
   *
   * @param need what the statement waits for
   * @param request its priority, objective and deadline
   * @param number the sequence number, which orders otherwise equal statements by arrival
   * @param retry retries the server search
   */
  record QueuedStatement(Need need, AdmissionRequest request, long number, Runnable retry) {}

  // Guarded by this.
  private final StatementQueue queue;
  private long lastNumber;

  /** Creates an empty queue that is ordered by priority, then by deadline. */
  WaitingStatements() {
    this(new PriorityStatementQueue());
  }

  /** Creates an empty queue with the given order. */
  WaitingStatements(StatementQueue queue) {
    this.queue = Objects.requireNonNull(queue);
  }

  /** Queues a statement without an objective; the returned entry is needed to remove it. */
  QueuedStatement add(Need need, int priority, long deadlineNanos, Runnable retry) {
    return add(
        need,
        new AdmissionRequest(
            deadlineNanos, deadlineNanos, deadlineNanos, priority, need == Need.LEAD),
        retry);
  }

  /** Queues a statement; the returned entry is needed to remove it. */
  synchronized QueuedStatement add(Need need, AdmissionRequest request, Runnable retry) {
    lastNumber++;
    QueuedStatement queued = new QueuedStatement(need, request, lastNumber, retry);
    queue.add(queued);
    return queued;
  }

  /** Removes a statement; returns false if it was already notified or removed. */
  synchronized boolean remove(QueuedStatement queued) {
    return queue.remove(queued);
  }

  /**
   * Removes and notifies the first statements with the given need, at most {@code maxCount}, and
   * those that can't be served any more.
   */
  void notifyFirst(Need need, int maxCount) {
    removeFirst(need, maxCount).forEach(queued -> queued.retry().run());
  }

  private synchronized List<QueuedStatement> removeFirst(Need need, int maxCount) {
    return queue.removeFirst(need, maxCount);
  }

  /**
   * Returns how many statements with the same need come before one that is not queued.
   *
   * @param arriving whether the statement has just arrived
   */
  synchronized int countBefore(AdmissionRequest request, boolean arriving) {
    return queue.countBefore(Need.of(request), request, arriving);
  }

  synchronized int size(Need need) {
    return queue.size(need);
  }
}
