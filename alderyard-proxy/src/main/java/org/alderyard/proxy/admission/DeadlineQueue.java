package org.alderyard.proxy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The statements of one group and need that wait for a server.
 *
 * <p>Statements that can still meet their objective come first, by least slack, which the priority
 * weights; statements that can only be late follow by deadline. Each {@value #OLDEST_TURN}th turn
 * goes to the statement that has waited longest, so that none waits without bound while others
 * overtake it. While the host starts, the newest statement that can meet its objective comes first.
 *
 * <p>Reads no clock; not thread-safe. A rank takes a binary search, a change moves at most the
 * queued references.
 *
 * @param <T> what is queued
 */
public final class DeadlineQueue<T> {
  /** Of this many turns, the longest waiting statement has one. */
  public static final int OLDEST_TURN = 8;

  private static final Comparator<Entry<?>> BY_ARRIVAL =
      Comparator.<Entry<?>>comparingLong(entry -> entry.request.arrivedNanos())
          .thenComparingLong(entry -> entry.number);
  private static final Comparator<Entry<?>> BY_SLACK =
      Comparator.<Entry<?>>comparingLong(entry -> entry.request.orderNanos())
          .thenComparingLong(entry -> entry.number);
  private static final Comparator<Entry<?>> BY_DEADLINE =
      Comparator.<Entry<?>>comparingLong(entry -> entry.request.deadlineNanos())
          .thenComparingLong(entry -> entry.number);

  private final SortedEntries<T> onTime = new SortedEntries<>(BY_SLACK);
  private final SortedEntries<T> late = new SortedEntries<>(BY_DEADLINE);
  private final SortedEntries<T> byArrival = new SortedEntries<>(BY_ARRIVAL);
  private long lastNumber;
  private long turns;

  /** A queued statement, needed to remove it. */
  public static final class Entry<T> {
    private final AdmissionRequest request;
    private final long number;
    private final T value;
    private boolean late;

    private Entry(AdmissionRequest request, long number, T value) {
      this.request = request;
      this.number = number;
      this.value = value;
    }

    /** Returns what is queued. */
    public T value() {
      return value;
    }
  }

  /**
   * What leaves the queue at one turn.
   *
   * @param next the statement whose turn it is
   * @param expired the statements that can't be served any more
   */
  public record Turn<T>(Optional<T> next, List<T> expired) {}

  /** Queues a statement. */
  public Entry<T> add(AdmissionRequest request, T value) {
    lastNumber++;
    Entry<T> entry = new Entry<>(request, lastNumber, value);
    onTime.add(entry);
    byArrival.add(entry);
    return entry;
  }

  /** Removes a statement; returns false if it has left the queue before. */
  public boolean remove(Entry<T> entry) {
    byArrival.remove(entry);
    return (entry.late ? late : onTime).remove(entry);
  }

  /** Returns the number of queued statements. */
  public int size() {
    return byArrival.size();
  }

  /**
   * Returns how many queued statements come before a statement that is not queued.
   *
   * @param startNanos the earliest start of the statement
   * @param serviceNanos the expected service time
   */
  public int countBefore(AdmissionRequest request, long startNanos, long serviceNanos) {
    if (request.meetsObjective(startNanos, serviceNanos)) {
      return onTime.rank(new Entry<>(request, 0, null));
    }
    return onTime.size() + late.rank(new Entry<>(request, 0, null));
  }

  /** Returns how many queued statements can still meet their objective. */
  public int countOnTime(long nowNanos, long serviceNanos) {
    moveLate(nowNanos, serviceNanos);
    return onTime.size();
  }

  /** Returns how many queued statements arrived later than one. */
  public int countNewer(AdmissionRequest request) {
    return byArrival.size() - byArrival.rank(new Entry<>(request, Long.MAX_VALUE, null));
  }

  /**
   * Takes the next statement, and all before it that can't be served any more.
   *
   * @param serviceNanos the expected service time of a statement
   * @param freshestFirst whether the host has just started
   */
  public Turn<T> poll(long nowNanos, long serviceNanos, boolean freshestFirst) {
    List<T> expired = new ArrayList<>();
    moveLate(nowNanos, serviceNanos);
    while (!late.isEmpty() && !canBeServed(late.first(), nowNanos, serviceNanos)) {
      expired.add(take(late.first()));
    }
    if (byArrival.isEmpty()) {
      return new Turn<>(Optional.empty(), expired);
    }
    turns++;
    return new Turn<>(Optional.of(take(select(freshestFirst))), expired);
  }

  private Entry<T> select(boolean freshestFirst) {
    if (turns % OLDEST_TURN == 0) {
      return byArrival.first();
    }
    if (freshestFirst) {
      return newest();
    }
    return onTime.isEmpty() ? late.first() : onTime.first();
  }

  /** Returns the newest statement that can meet its objective, or the newest of all. */
  private Entry<T> newest() {
    for (int i = byArrival.size() - 1; i >= 0 && !onTime.isEmpty(); i--) {
      if (!byArrival.get(i).late) {
        return byArrival.get(i);
      }
    }
    return byArrival.get(byArrival.size() - 1);
  }

  /** Moves statements at the head that have missed their objective behind the others. */
  private void moveLate(long nowNanos, long serviceNanos) {
    while (!onTime.isEmpty() && !onTime.first().request.meetsObjective(nowNanos, serviceNanos)) {
      Entry<T> entry = onTime.first();
      onTime.remove(entry);
      entry.late = true;
      late.add(entry);
    }
  }

  private boolean canBeServed(Entry<T> entry, long nowNanos, long serviceNanos) {
    long neededNanos = Math.max(serviceNanos, DeadlineAdmission.MIN_EXECUTION_NANOS);
    return entry.request.meetsDeadline(nowNanos, neededNanos);
  }

  private T take(Entry<T> entry) {
    remove(entry);
    return entry.value;
  }
}
