package org.alderyard.proxy.callersession;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import org.alderyard.proxy.admission.AdmissionRequest;
import org.alderyard.proxy.callersession.WaitingStatements.Need;
import org.alderyard.proxy.callersession.WaitingStatements.QueuedStatement;

/** Orders statements by priority, then by deadline, then by arrival. Not thread-safe. */
final class PriorityStatementQueue implements StatementQueue {
  private static final Comparator<QueuedStatement> ORDER =
      Comparator.comparingInt((QueuedStatement queued) -> queued.request().priority())
          .thenComparingLong(queued -> queued.request().deadlineNanos())
          .thenComparingLong(QueuedStatement::number);

  private final TreeSet<QueuedStatement> queue = new TreeSet<>(ORDER);

  @Override
  public void add(QueuedStatement queued) {
    queue.add(queued);
  }

  @Override
  public boolean remove(QueuedStatement queued) {
    return queue.remove(queued);
  }

  @Override
  public List<QueuedStatement> removeFirst(Need need, int maxCount) {
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

  @Override
  public int countBefore(Need need, AdmissionRequest request, boolean arriving) {
    QueuedStatement position = new QueuedStatement(need, request, 0, () -> {});
    return (int) queue.headSet(position).stream().filter(queued -> queued.need() == need).count();
  }

  @Override
  public int size(Need need) {
    return (int) queue.stream().filter(queued -> queued.need() == need).count();
  }
}
