package org.alderyard.common.id;

/**
 * The name of a pool, by which callers address it.
 *
 * @param value the name, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record PoolName(String value) implements Comparable<PoolName> {

  /** Validates the name. */
  public PoolName {
    Names.validate("pool", value);
  }

  @Override
  public int compareTo(PoolName other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof PoolName that && value.equals(that.value);
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
