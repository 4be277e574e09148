package org.alderyard.proxy.callersession;

import java.util.List;
import org.alderyard.proxy.admission.AdmissionRequest;
import org.alderyard.proxy.callersession.WaitingStatements.Need;
import org.alderyard.proxy.callersession.WaitingStatements.QueuedStatement;

/** The order of the statements that wait for a server of one group. Not thread-safe. */
interface StatementQueue {
  /** Queues a statement. */
  void add(QueuedStatement queued);

  /** Removes a statement; returns false if it has left the queue before. */
  boolean remove(QueuedStatement queued);

  /**
   * Removes the first statements with a need, at most {@code maxCount}, and those that can't be
   * served any more.
   */
  List<QueuedStatement> removeFirst(Need need, int maxCount);

  /**
   * Returns how many statements with a need come before one that is not queued.
   *
   * @param arriving whether the statement has just arrived, so that those before it include all
   *     that would wait longer if it were admitted
   */
  int countBefore(Need need, AdmissionRequest request, boolean arriving);

  /** Returns the number of statements with a need. */
  int size(Need need);
}
