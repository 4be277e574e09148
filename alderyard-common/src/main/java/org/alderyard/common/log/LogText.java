package org.alderyard.common.log;

/** Makes text from outside of the system safe to log. */
public final class LogText {

  private LogText() {}

  /**
   * Truncates a sender's text and replaces characters that would end the line or its quotes, and
   * halves of surrogate pairs, which can't be encoded.
   *
   * @param maxChars the number of characters that are kept
   */
  public static String sanitize(String text, int maxChars) {
    String truncated = text.length() <= maxChars ? text : text.substring(0, maxChars) + "...";
    return truncated.replaceAll("[\\p{IsControl}\\p{Cs}\\p{Zl}\\p{Zp}\"]", "?");
  }
}
