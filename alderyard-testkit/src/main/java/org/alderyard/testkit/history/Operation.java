package org.alderyard.testkit.history;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * One request of a session and what became of it.
 *
 * @param session who asked; its requests follow one another
 * @param key the key
 * @param kind whether it appended or read
 * @param value what was appended, unique in the history; empty for a read
 * @param result what the caller was told
 * @param startNanos when the request left
 * @param endNanos when the answer arrived
 * @param observed the list that a successful read returned
 * @param maxStalenessMillis the age that the read accepted; empty for a session's or primary's read
 */
public record Operation(
    String session,
    String key,
    Kind kind,
    String value,
    Result result,
    long startNanos,
    long endNanos,
    List<String> observed,
    OptionalLong maxStalenessMillis) {

  /** Checks and copies. */
  public Operation {
    Objects.requireNonNull(session);
    Objects.requireNonNull(key);
    Objects.requireNonNull(kind);
    Objects.requireNonNull(value);
    Objects.requireNonNull(result);
    Objects.requireNonNull(maxStalenessMillis);
    observed = List.copyOf(observed);
  }

  /** Whether an operation appended or read. */
  public enum Kind {
    /** It appended its value to the list under the key. */
    APPEND,
    /** It read the list. */
    READ
  }

  /** What the caller was told. */
  public enum Result {
    /** It succeeded. */
    OK,
    /** It did not run and never will. */
    NOT_RUN,
    /** It ran and was refused without effect. */
    FAILED,
    /** It may have run. */
    UNKNOWN
  }

  /** Returns whether this is an append that the caller was told is done. */
  public boolean acknowledgedAppend() {
    return kind == Kind.APPEND && result == Result.OK;
  }
}
