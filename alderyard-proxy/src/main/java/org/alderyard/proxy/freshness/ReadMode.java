package org.alderyard.proxy.freshness;

import java.util.Arrays;
import java.util.Locale;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** What a read demands of the data's age. */
public enum ReadMode {
  /** All that the session wrote and read before. */
  SESSION,
  /** Data of at most a stated age. */
  BOUNDED,
  /** Data of any age. */
  ANY,
  /** What the primary holds. */
  PRIMARY;

  /**
   * Returns the mode of this name.
   *
   * @throws AlderyardException with {@code BAD_REQUEST} for any other name
   */
  public static ReadMode of(String name) {
    return Arrays.stream(values())
        .filter(mode -> mode.lowerCaseName().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                AlderyardException.notRun(
                    ErrorCode.BAD_REQUEST,
                    "freshness mode is '"
                        + name
                        + "'; accepted are session, bounded, any, primary"));
  }

  /** Returns the name as callers write it. */
  public String lowerCaseName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
