package org.alderyard.proxy.limit;

import java.util.ArrayList;
import java.util.List;

/**
 * The statements that a {@link ServerGate} starts and refuses in response to one event.
 *
 * <p>The caller of the limiter runs and fails them.
 *
 * @param <T> the type of the work item
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

  /** Returns the statements to start. */
  public List<Entrant<T>> started() {
    return started;
  }

  /** Returns the refused statements. They have not run and will not run. */
  public List<Refused<T>> refused() {
    return refused;
  }

  /**
   * A refused statement.
   *
   * @param entrant the statement
   * @param reason the reason for the refusal
   * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
   * @param <T> the type of the work item
   */
  public record Refused<T>(Entrant<T> entrant, RefusalReason reason, long retryAfterMillis) {}
}
