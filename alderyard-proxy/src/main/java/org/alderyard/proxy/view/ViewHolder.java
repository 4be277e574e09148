package org.alderyard.proxy.view;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.alderyard.common.view.View;

/** The view that this process acts on; it only goes forward. */
public final class ViewHolder {
  private final AtomicReference<View> current = new AtomicReference<>(View.EMPTY);
  private final List<Consumer<View>> listeners = new CopyOnWriteArrayList<>();

  /** Returns the view to act on. */
  public View current() {
    return current.get();
  }

  /** Adds a listener for each newer view. */
  public void onChange(Consumer<View> listener) {
    listeners.add(listener);
  }

  /**
   * Takes a view if it is newer.
   *
   * <p>Guards against an answer of a host that was cut off and still hands out an old view: it
   * would bring back a replaced primary. Only a greater version is taken.
   *
   * @return whether the view was taken
   */
  public boolean offer(View next) {
    while (true) {
      View before = current.get();
      if (next.version().compareTo(before.version()) <= 0) {
        return false;
      }
      if (current.compareAndSet(before, next)) {
        listeners.forEach(listener -> listener.accept(next));
        return true;
      }
    }
  }
}
