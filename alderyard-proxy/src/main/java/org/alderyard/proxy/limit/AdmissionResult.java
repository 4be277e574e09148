package org.alderyard.proxy.limit;

import java.util.ArrayList;
import java.util.List;

/**
 * The statements that a {@link ServerLimiter} starts and refuses in response to one event.
 *
 * <p>The caller of the limiter runs and fails them.
 *
 * @param <T> the type of the work item
 */
public final class AdmissionResult<T> {
  private final List<QueuedStatement<T>> started = new ArrayList<>();
  private final List<Refused<T>> refused = new ArrayList<>();

  void start(QueuedStatement<T> statement) {
    started.add(statement);
  }

  void refuse(QueuedStatement<T> statement, RefusalReason reason, long retryAfterMillis) {
    refused.add(new Refused<>(statement, reason, retryAfterMillis));
  }

  /** Returns the statements to start. */
  public List<QueuedStatement<T>> started() {
    return started;
  }

  /** Returns the refused statements. They have not run and will not run. */
  public List<Refused<T>> refused() {
    return refused;
  }

  /**
   * A refused statement.
   *
   * @param statement the statement
   * @param reason the reason for the refusal
   * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
   * @param <T> the type of the work item
   */
  public record Refused<T>(
      QueuedStatement<T> statement, RefusalReason reason, long retryAfterMillis) {}
}
