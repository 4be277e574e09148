package org.alderyard.control.store;

/** Builds file names that sort lexicographically by their number. */
final class NumberedFileName {
  private NumberedFileName() {}

  /**
   * Returns a file name with the number zero-padded to the given number of digits.
   *
   * <p>Does not use {@code String.format}, which loads locale data and would delay the start of the
   * host.
   */
  static String format(String prefix, long number, int digits, String suffix) {
    String decimal = Long.toString(number);
    return prefix + "0".repeat(Math.max(0, digits - decimal.length())) + decimal + suffix;
  }
}
