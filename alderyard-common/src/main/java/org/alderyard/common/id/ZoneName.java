package org.alderyard.common.id;

/**
 * The name of an availability zone.
 *
 * @param value the name, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record ZoneName(String value) implements Comparable<ZoneName> {

  /** Validates the name. */
  public ZoneName {
    Names.validate("zone", value);
  }

  @Override
  public int compareTo(ZoneName other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ZoneName that && value.equals(that.value);
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
