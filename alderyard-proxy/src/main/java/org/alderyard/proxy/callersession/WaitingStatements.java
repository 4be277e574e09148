package org.alderyard.proxy.callersession;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * The statements of one group that wait until something is known or free, in one order: those of
 * the first priority first, and among them those that have least time.
 *
 * <p>They are woken by small steps: each one that ends lets the next one look, so that what has
 * become free or known is not asked for by all at once.
 *
 * <p>Lock: the object itself, a leaf; those that are woken run after it is released.
 */
final class WaitingStatements {
  /** What a statement waits for. */
  enum Need {
    /** A server that leads, or a slot at it. */
    LEAD,
    /** A server that holds the position of a read, or a slot at one. */
    READ
  }

  /**
   * One that waits.
   *
   * @param need what for
   * @param priority 0 is served first
   * @param deadlineNanos when it must have an answer
   * @param number tells equal ones apart, the older first
   * @param wake lets it look again
   */
  record Waiter(Need need, int priority, long deadlineNanos, long number, Runnable wake) {}

  private static final Comparator<Waiter> ORDER =
      Comparator.comparingInt(Waiter::priority)
          .thenComparingLong(Waiter::deadlineNanos)
          .thenComparingLong(Waiter::number);

  // Guarded by this.
  private final TreeSet<Waiter> waiters = new TreeSet<>(ORDER);
  private long lastNumber;

  /** Adds one. */
  synchronized Waiter add(Need need, int priority, long deadlineNanos, Runnable wake) {
    lastNumber++;
    Waiter waiter = new Waiter(need, priority, deadlineNanos, lastNumber, wake);
    waiters.add(waiter);
    return waiter;
  }

  /** Takes one out; returns false if it was woken already. */
  synchronized boolean remove(Waiter waiter) {
    return waiters.remove(waiter);
  }

  /** Lets the first ones that wait for something look again, at most so many. */
  void wake(Need need, int most) {
    take(need, most).forEach(waiter -> waiter.wake().run());
  }

  private synchronized List<Waiter> take(Need need, int most) {
    List<Waiter> taken = new ArrayList<>();
    Iterator<Waiter> inOrder = waiters.iterator();
    while (taken.size() < most && inOrder.hasNext()) {
      Waiter waiter = inOrder.next();
      if (waiter.need() == need) {
        inOrder.remove();
        taken.add(waiter);
      }
    }
    return taken;
  }

  synchronized int size(Need need) {
    return (int) waiters.stream().filter(waiter -> waiter.need() == need).count();
  }
}
