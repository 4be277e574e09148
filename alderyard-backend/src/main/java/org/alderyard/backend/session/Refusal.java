package org.alderyard.backend.session;

import java.util.Objects;

/**
 * Reason why a statement did not succeed.
 *
 * @param code the refusal code
 * @param text human-readable detail
 */
public record Refusal(RefusalCode code, String text) {

  /** Rejects null components. */
  public Refusal {
    Objects.requireNonNull(code);
    Objects.requireNonNull(text);
  }
}
