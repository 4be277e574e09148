package org.alderyard.common.id;

/**
 * The name of a host of the system.
 *
 * @param value the name, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record HostId(String value) implements Comparable<HostId> {

  /** Validates the name. */
  public HostId {
    Names.validate("host", value);
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof HostId that && value.equals(that.value);
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
