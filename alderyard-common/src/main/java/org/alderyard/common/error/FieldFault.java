package org.alderyard.common.error;

/**
 * One invalid field of an input: its location, its value and the accepted values.
 *
 * @param object the object, as kind/name; long names, fields and values are truncated
 * @param field the field of the object
 * @param value the invalid value; never a secret
 * @param accepted a description of the accepted values
 */
public record FieldFault(String object, String field, String value, String accepted) {
  private static final int MAX_CHARS = 160;

  /** Truncates the parts that come from the input. */
  public FieldFault {
    object = truncate(object);
    field = truncate(field);
    value = truncate(value);
  }

  /** Keeps both halves of a surrogate pair or none, as a half can't be encoded. */
  private static String truncate(String text) {
    if (text.length() <= MAX_CHARS) {
      return text;
    }
    int end = Character.isHighSurrogate(text.charAt(MAX_CHARS - 1)) ? MAX_CHARS - 1 : MAX_CHARS;
    return text.substring(0, end) + "...";
  }

  @Override
  public String toString() {
    return object + " " + field + " is '" + value + "'; accepted: " + accepted;
  }
}
