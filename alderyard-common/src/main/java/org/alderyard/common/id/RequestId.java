package org.alderyard.common.id;

/**
 * The name that a caller gives to a request, which distinguishes a resend from a new request.
 *
 * @param value the name, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Validates the name. */
  public RequestId {
    Names.validate("requestId", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RequestId that && value.equals(that.value);
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
