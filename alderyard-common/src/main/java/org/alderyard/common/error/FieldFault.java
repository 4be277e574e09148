package org.alderyard.common.error;

/**
 * One invalid field of an input: its location, its value and the accepted values.
 *
 * @param object the object, as kind/name
 * @param field the field of the object
 * @param value the invalid value; never a secret
 * @param accepted a description of the accepted values
 */
public record FieldFault(String object, String field, String value, String accepted) {

  @Override
  public String toString() {
    return object + " " + field + " is '" + value + "'; accepted: " + accepted;
  }
}
