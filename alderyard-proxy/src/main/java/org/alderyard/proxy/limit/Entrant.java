package org.alderyard.proxy.limit;

import java.util.Objects;

/**
 * A statement that wants to run at a server.
 *
 * @param flow whose it is
 * @param write whether only the primary can run it
 * @param deadlineNanos when its caller gives up
 * @param work what the shell starts or refuses
 * @param <T> the type of the work
 */
public record Entrant<T>(Flow flow, boolean write, long deadlineNanos, T work) {

  /** Checks. */
  public Entrant {
    Objects.requireNonNull(flow);
    Objects.requireNonNull(work);
  }
}
