package org.alderyard.proxy.admission;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** Queue entries in an order without equal elements, with ranks. Not thread-safe. */
final class SortedEntries<T> {
  private final Comparator<? super DeadlineQueue.Entry<T>> order;
  private final List<DeadlineQueue.Entry<T>> entries = new ArrayList<>();

  SortedEntries(Comparator<? super DeadlineQueue.Entry<T>> order) {
    this.order = order;
  }

  void add(DeadlineQueue.Entry<T> entry) {
    entries.add(rank(entry), entry);
  }

  boolean remove(DeadlineQueue.Entry<T> entry) {
    int index = Collections.binarySearch(entries, entry, order);
    if (index < 0) {
      return false;
    }
    entries.remove(index);
    return true;
  }

  /** Returns how many entries come before one, which need not be among them. */
  int rank(DeadlineQueue.Entry<T> entry) {
    int index = Collections.binarySearch(entries, entry, order);
    return index < 0 ? -index - 1 : index;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  DeadlineQueue.Entry<T> first() {
    return entries.get(0);
  }

  DeadlineQueue.Entry<T> get(int index) {
    return entries.get(index);
  }
}
