package org.alderyard.common.id;

/**
 * The name of a caller, which is the scope of its request IDs.
 *
 * @param value the name, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record CallerId(String value) implements Comparable<CallerId> {

  /** Validates the name. */
  public CallerId {
    Names.validate("callerId", value);
  }

  @Override
  public int compareTo(CallerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof CallerId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
