package org.alderyard.common.id;

import java.util.regex.Pattern;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** Validates the names of callers, groups, hosts, pools, requests, servers and zones. */
final class Names {
  private static final Pattern ACCEPTED = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

  private Names() {}

  static void validate(String kind, String value) {
    if (value == null || !ACCEPTED.matcher(value).matches()) {
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST,
          kind + " is '" + value + "'; accepted are 1 to 128 characters of [A-Za-z0-9._:-]");
    }
  }
}
