package org.alderyard.proxy.view;

import java.util.concurrent.CompletableFuture;

/** Holds callers' operations while this host can't tell whether its view is current. */
@FunctionalInterface
public interface ViewGate {
  /** Holds no operation. */
  ViewGate OPEN = () -> CompletableFuture.completedFuture(true);

  /**
   * Waits until operations may begin by the view of this host, for a limited time.
   *
   * @return a future that never fails: whether an operation may begin by the view that is current
   *     when the future completes; false if the operation must be refused without effect
   */
  CompletableFuture<Boolean> pass();
}
