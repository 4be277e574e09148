package org.alderyard.proxy.callersession;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.proxy.admission.AdmissionRequest;
import org.alderyard.proxy.admission.DeadlineQueue;
import org.alderyard.proxy.callersession.WaitingStatements.Need;
import org.alderyard.proxy.callersession.WaitingStatements.QueuedStatement;

/** Orders statements by whether they can meet their objectives; see {@link DeadlineQueue}. */
final class DeadlineStatementQueue implements StatementQueue {
  private final MonotonicClock clock;
  private final LongSupplier serviceNanos;
  private final BooleanSupplier starting;
  private final Map<Need, DeadlineQueue<QueuedStatement>> queues = new EnumMap<>(Need.class);
  private final Map<Long, DeadlineQueue.Entry<QueuedStatement>> entries = new HashMap<>();

  /**
   * Creates an empty queue.
   *
   * @param serviceNanos the expected service time of a statement
   * @param starting whether the host has just started
   */
  DeadlineStatementQueue(
      MonotonicClock clock, LongSupplier serviceNanos, BooleanSupplier starting) {
    this.clock = clock;
    this.serviceNanos = serviceNanos;
    this.starting = starting;
    for (Need need : Need.values()) {
      queues.put(need, new DeadlineQueue<>());
    }
  }

  @Override
  public void add(QueuedStatement queued) {
    entries.put(queued.number(), queues.get(queued.need()).add(queued.request(), queued));
  }

  @Override
  public boolean remove(QueuedStatement queued) {
    DeadlineQueue.Entry<QueuedStatement> entry = entries.remove(queued.number());
    return entry != null && queues.get(queued.need()).remove(entry);
  }

  @Override
  public List<QueuedStatement> removeFirst(Need need, int maxCount) {
    List<QueuedStatement> removed = new ArrayList<>();
    long now = clock.nowNanos();
    for (int i = 0; i < maxCount; i++) {
      DeadlineQueue.Turn<QueuedStatement> turn =
          queues.get(need).poll(now, serviceNanos.getAsLong(), starting.getAsBoolean());
      removed.addAll(turn.expired());
      turn.next().ifPresent(removed::add);
    }
    removed.forEach(queued -> entries.remove(queued.number()));
    return removed;
  }

  @Override
  public int countBefore(Need need, AdmissionRequest request, boolean arriving) {
    DeadlineQueue<QueuedStatement> queue = queues.get(need);
    long now = clock.nowNanos();
    if (!starting.getAsBoolean()) {
      return queue.countBefore(request, now, serviceNanos.getAsLong());
    }
    return arriving ? queue.countOnTime(now, serviceNanos.getAsLong()) : queue.countNewer(request);
  }

  @Override
  public int size(Need need) {
    return queues.get(need).size();
  }
}
