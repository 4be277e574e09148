package org.alderyard.common.id;

/**
 * The name of a database group.
 *
 * @param value the name, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record GroupId(String value) implements Comparable<GroupId> {

  /** Validates the name. */
  public GroupId {
    Names.validate("group", value);
  }

  @Override
  public int compareTo(GroupId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof GroupId that && value.equals(that.value);
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
