package org.alderyard.proxy.freshness;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * The result of checking one server's data against the freshness that one read requires.
 *
 * @param verdict whether the server may answer the read, and the reason if not
 * @param catchUpNanos the estimated time until the server is fresh enough; empty if not estimated
 */
public record Eligibility(Verdict verdict, OptionalLong catchUpNanos) {

  /** Rejects null components. */
  public Eligibility {
    Objects.requireNonNull(verdict);
    Objects.requireNonNull(catchUpNanos);
  }

  static Eligibility of(Verdict verdict) {
    return new Eligibility(verdict, OptionalLong.empty());
  }

  static Eligibility behind(OptionalLong catchUpNanos) {
    return new Eligibility(Verdict.BEHIND, catchUpNanos);
  }

  /** Returns whether the server may answer the read without waiting. */
  public boolean eligible() {
    return verdict == Verdict.ELIGIBLE;
  }

  /** The possible results of the check. */
  public enum Verdict {
    /** The server is fresh enough. */
    ELIGIBLE,
    /** The server is known to be too old for the read. */
    BEHIND,
    /** The server has not been measured since it started, so it is not eligible. */
    UNKNOWN,
    /**
     * The server holds entries that the group has lost, or reports a newer term than the view, so
     * it is not eligible.
     */
    DIVERGED
  }
}
