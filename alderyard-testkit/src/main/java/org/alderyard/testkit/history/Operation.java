package org.alderyard.testkit.history;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * One request of a session and its result.
 *
 * @param session the session that sent the request; a session sends its requests in sequence
 * @param key the key of the list
 * @param kind whether the operation is an append or a read
 * @param value the appended value, unique in the history; empty for a read
 * @param result the result that the caller received
 * @param startNanos time at which the request was sent, in nanoseconds
 * @param endNanos time at which the response arrived, in nanoseconds
 * @param observed the list that a successful read returned
 * @param maxStalenessMillis the staleness that the read accepted, in milliseconds; empty for a
 *     session read or a primary read
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

  /** Rejects null components and copies the observed list. */
  public Operation {
    Objects.requireNonNull(session);
    Objects.requireNonNull(key);
    Objects.requireNonNull(kind);
    Objects.requireNonNull(value);
    Objects.requireNonNull(result);
    Objects.requireNonNull(maxStalenessMillis);
    observed = List.copyOf(observed);
  }

  /** Type of an operation. */
  public enum Kind {
    /** Appends its value to the list of the key. */
    APPEND,
    /** Reads the list of the key. */
    READ
  }

  /** Result that the caller received. */
  public enum Result {
    /** The operation succeeded. */
    OK,
    /** The operation did not run and will not run later. */
    NOT_RUN,
    /** The operation ran and failed without effect. */
    FAILED,
    /** The operation may have run. */
    UNKNOWN
  }

  /** Returns whether this is an append whose success was reported to the caller. */
  public boolean isAcknowledgedAppend() {
    return kind == Kind.APPEND && result == Result.OK;
  }
}
