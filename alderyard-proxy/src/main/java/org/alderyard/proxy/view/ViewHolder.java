package org.alderyard.proxy.view;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.alderyard.common.view.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the current view of this process. Its version only increases. Thread-safe. */
public final class ViewHolder {
  private static final Logger log = LoggerFactory.getLogger(ViewHolder.class);

  private volatile View current = View.EMPTY;
  private final List<Consumer<View>> listeners = new CopyOnWriteArrayList<>();
  private final LongAdder failedListeners = new LongAdder();

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
    listeners.forEach(listener -> notify(listener, next));
    return true;
  }

  /** A listener that fails, also with an {@link Error}, must not keep the view from the others. */
  private void notify(Consumer<View> listener, View next) {
    try {
      listener.accept(next);
    } catch (RuntimeException | Error failure) {
      failedListeners.increment();
      log.error("event=view-listener-failed version={}", next.version(), failure);
    }
  }

  /** Returns how often a listener failed with a view. */
  public long failedListeners() {
    return failedListeners.sum();
  }
}
