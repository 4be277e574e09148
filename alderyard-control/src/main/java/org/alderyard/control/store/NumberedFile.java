package org.alderyard.control.store;

/** Names of files that sort by their number. */
final class NumberedFile {
  private NumberedFile() {}

  /**
   * Returns a name with the number padded to the given count of digits.
   *
   * <p>By hand: the library's formats load the symbols of the locale, which a start waits for.
   */
  static String name(String prefix, long number, int digits, String suffix) {
    String text = Long.toString(number);
    return prefix + "0".repeat(Math.max(0, digits - text.length())) + text + suffix;
  }
}
