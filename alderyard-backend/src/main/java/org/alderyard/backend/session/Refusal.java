package org.alderyard.backend.session;

import java.util.Objects;

/**
 * A statement that has no success.
 *
 * @param code why
 * @param text more on it, for people
 */
public record Refusal(RefusalCode code, String text) {

  /** Checks. */
  public Refusal {
    Objects.requireNonNull(code);
    Objects.requireNonNull(text);
  }
}
