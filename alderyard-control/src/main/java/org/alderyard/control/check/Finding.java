package org.alderyard.control.check;

import java.util.Objects;

/**
 * One finding of a check.
 *
 * @param code the kind
 * @param object the object, as kind/name
 * @param message what was found; never a key of an organisation
 */
public record Finding(FindingCode code, String object, String message) {

  /** Rejects null components. */
  public Finding {
    Objects.requireNonNull(code);
    Objects.requireNonNull(object);
    Objects.requireNonNull(message);
  }

  /** Returns whether the finding is a fault of the configuration, and no mere difference. */
  public boolean isFault() {
    return code.severity() != FindingCode.Severity.DIFFERENCE;
  }

  @Override
  public String toString() {
    return code + " " + object + ": " + message;
  }
}
