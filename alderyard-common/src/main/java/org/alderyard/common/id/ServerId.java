package org.alderyard.common.id;

/**
 * The name of a backend server.
 *
 * @param value the name, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record ServerId(String value) implements Comparable<ServerId> {

  /** Checks the name. */
  public ServerId {
    Names.check("server", value);
  }

  @Override
  public int compareTo(ServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
