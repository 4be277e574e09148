package org.alderyard.proxy.freshness;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Whether one server may answer one read, and why.
 *
 * @param verdict the verdict
 * @param arrivalNanos how long until the server is expected to be fresh enough, where estimated
 */
public record Eligibility(Verdict verdict, OptionalLong arrivalNanos) {

  /** Checks. */
  public Eligibility {
    Objects.requireNonNull(verdict);
    Objects.requireNonNull(arrivalNanos);
  }

  static Eligibility of(Verdict verdict) {
    return new Eligibility(verdict, OptionalLong.empty());
  }

  static Eligibility behind(OptionalLong arrivalNanos) {
    return new Eligibility(Verdict.BEHIND, arrivalNanos);
  }

  /** Returns whether the server may answer at once. */
  public boolean eligible() {
    return verdict == Verdict.ELIGIBLE;
  }

  /** The verdicts. */
  public enum Verdict {
    /** Fresh enough now. */
    ELIGIBLE,
    /** Known not to be fresh enough yet. */
    BEHIND,
    /** Never measured, or not since its restart: not eligible. */
    UNKNOWN,
    /** Holds entries that the group lost, or a term that the view does not know: not eligible. */
    DIVERGED
  }
}
