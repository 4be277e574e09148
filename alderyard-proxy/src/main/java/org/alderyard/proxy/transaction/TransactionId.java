package org.alderyard.proxy.transaction;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;

/**
 * The name of a transaction, which tells where it is held.
 *
 * @param holder the host that holds it
 * @param incarnation the incarnation of the holder; a later one has lost it
 * @param number a random number, so that an id can't be guessed
 */
public record TransactionId(HostId holder, long incarnation, long number) {
  private static final Pattern TEXT =
      Pattern.compile("(?<holder>[^:]+):(?<incarnation>\\d{1,18}):(?<number>[0-9a-f]{16})");
  private static final int HEX = 16;

  /** Checks. */
  public TransactionId {
    Objects.requireNonNull(holder);
  }

  /** Reads the text of an id; any other text is a typed error. */
  public static TransactionId parse(String text) {
    Matcher matcher = TEXT.matcher(text);
    if (!matcher.matches()) {
      throw AlderyardException.notRun(
          ErrorCode.TRANSACTION_UNKNOWN, "'" + text + "' is no transaction id");
    }
    return new TransactionId(
        new HostId(matcher.group("holder")),
        Long.parseLong(matcher.group("incarnation")),
        Long.parseUnsignedLong(matcher.group("number"), HEX));
  }

  @Override
  public String toString() {
    return "%s:%d:%016x".formatted(holder, incarnation, number);
  }
}
