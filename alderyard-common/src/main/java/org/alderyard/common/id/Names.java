package org.alderyard.common.id;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.log.LogText;

/** Validates the names of callers, groups, hosts, pools, requests, servers and zones. */
final class Names {
  private static final int MAX_CHARS = 128;
  private static final String ACCEPTED_MARKS = "._:-";

  private Names() {}

  static void validate(String kind, String value) {
    if (!isAccepted(value)) {
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST,
          kind
              + " is '"
              + LogText.sanitize(String.valueOf(value), MAX_CHARS)
              + "'; accepted are 1 to 128 characters of [A-Za-z0-9._:-]");
    }
  }

  /** Decides without a regular expression: each message between hosts contains several names. */
  private static boolean isAccepted(String value) {
    if (value == null || value.isEmpty() || value.length() > MAX_CHARS) {
      return false;
    }
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      boolean alphanumeric = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
      if (!alphanumeric && ACCEPTED_MARKS.indexOf(c) < 0) {
        return false;
      }
    }
    return true;
  }
}
