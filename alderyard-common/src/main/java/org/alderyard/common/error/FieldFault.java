package org.alderyard.common.error;

/**
 * One fault of an input: where it is, what was there and what is accepted.
 *
 * @param object the object, as kind/name
 * @param field the field of it
 * @param value the value at fault; never a secret
 * @param accepted what is accepted instead
 */
public record FieldFault(String object, String field, String value, String accepted) {

  @Override
  public String toString() {
    return object + " " + field + " is '" + value + "'; accepted: " + accepted;
  }
}
