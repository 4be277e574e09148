package org.alderyard.common.id;

/**
 * The name of a backend server.
 *
 * @param value the name, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record ServerId(String value) implements Comparable<ServerId> {

  /** Validates the name. */
  public ServerId {
    Names.validate("server", value);
  }

  @Override
  public int compareTo(ServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ServerId that && value.equals(that.value);
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
