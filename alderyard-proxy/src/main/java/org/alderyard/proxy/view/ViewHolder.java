package org.alderyard.proxy.view;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.alderyard.common.view.View;

/** Holds the current view of this process. Its version only increases. Thread-safe. */
public final class ViewHolder {
  private volatile View current = View.EMPTY;
  private final List<Consumer<View>> listeners = new CopyOnWriteArrayList<>();

  /** Returns the current view, which is {@link View#EMPTY} before the first one is received. */
  public View current() {
    return current;
  }

  /** Adds a listener that is called with each newer view, in order; it must not block. */
  public void onChange(Consumer<View> listener) {
    listeners.add(listener);
  }

  /**
   * Replaces the current view if the given one has a greater version.
   *
   * <p>A control host that was partitioned may still send an old view, which would restore a
   * replaced primary. The listeners are called under the lock of this object, so that none sees an
   * older view after a newer one.
   *
   * @return whether the current view was replaced
   */
  public synchronized boolean updateIfNewer(View next) {
    if (next.version().compareTo(current.version()) <= 0) {
      return false;
    }
    current = next;
    listeners.forEach(listener -> listener.accept(next));
    return true;
  }
}
