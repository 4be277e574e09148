package org.alderyard.common.id;

import java.util.regex.Pattern;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** The rule that all names follow. */
final class Names {
  private static final Pattern ACCEPTED = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

  private Names() {}

  static void check(String kind, String value) {
    if (value == null || !ACCEPTED.matcher(value).matches()) {
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST,
          kind + " is '" + value + "'; accepted are 1 to 128 characters of [A-Za-z0-9._:-]");
    }
  }
}
