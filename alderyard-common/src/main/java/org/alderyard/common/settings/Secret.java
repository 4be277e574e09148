package org.alderyard.common.settings;

import java.util.Objects;

/**
 * A secret that a key file holds; its text form hides it, so that it reaches no log by accident.
 *
 * @param value the secret itself
 */
public record Secret(String value) {

  /** Checks. */
  public Secret {
    Objects.requireNonNull(value);
  }

  @Override
  public String toString() {
    return "Secret[hidden]";
  }
}
