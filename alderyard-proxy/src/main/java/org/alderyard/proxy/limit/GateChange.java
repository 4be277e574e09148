package org.alderyard.proxy.limit;

import java.util.ArrayList;
import java.util.List;

/**
 * What follows from one event at a gate; the shell performs it.
 *
 * @param <T> the type of the work
 */
public final class GateChange<T> {
  private final List<Entrant<T>> started = new ArrayList<>();
  private final List<Refused<T>> refused = new ArrayList<>();

  void start(Entrant<T> entrant) {
    started.add(entrant);
  }

  void refuse(Entrant<T> entrant, RefusalReason reason, long retryAfterMillis) {
    refused.add(new Refused<>(entrant, reason, retryAfterMillis));
  }

  /** Returns what runs now. */
  public List<Entrant<T>> started() {
    return started;
  }

  /** Returns what is refused now; it never ran and never will. */
  public List<Refused<T>> refused() {
    return refused;
  }

  /**
   * A refused statement.
   *
   * @param entrant the statement
   * @param reason why
   * @param retryAfterMillis when its caller should come back
   * @param <T> the type of the work
   */
  public record Refused<T>(Entrant<T> entrant, RefusalReason reason, long retryAfterMillis) {}
}
