package org.alderyard.common.settings;

import java.util.Objects;

/**
 * A secret from a key file. Its text form hides the value, so that it can't be logged by accident.
 *
 * @param value the secret itself
 */
public record Secret(String value) {

  /** Checks that no component is null. */
  public Secret {
    Objects.requireNonNull(value);
  }

  @Override
  public String toString() {
    return "Secret[hidden]";
  }
}
