package org.alderyard.proxy.view;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.alderyard.common.view.View;

/** Holds the current view of this process. Its version only increases. Thread-safe. */
public final class ViewHolder {
  private final AtomicReference<View> current = new AtomicReference<>(View.EMPTY);
  private final List<Consumer<View>> listeners = new CopyOnWriteArrayList<>();

  /** Returns the current view, which is {@link View#EMPTY} before the first one is received. */
  public View current() {
    return current.get();
  }

  /** Adds a listener that is called with each newer view. */
  public void onChange(Consumer<View> listener) {
    listeners.add(listener);
  }

  /**
   * Replaces the current view if the given one has a greater version.
   *
   * <p>A control host that was partitioned may still send an old view, which would restore a
   * replaced primary.
   *
   * @return whether the current view was replaced
   */
  public boolean updateIfNewer(View next) {
    while (true) {
      View previous = current.get();
      if (next.version().compareTo(previous.version()) <= 0) {
        return false;
      }
      if (current.compareAndSet(previous, next)) {
        listeners.forEach(listener -> listener.accept(next));
        return true;
      }
    }
  }
}
