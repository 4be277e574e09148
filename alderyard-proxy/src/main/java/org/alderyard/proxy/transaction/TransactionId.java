package org.alderyard.proxy.transaction;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;

/**
 * The ID of a transaction, which contains the location of the transaction.
 *
 * @param holder the host that holds the transaction
 * @param incarnation the incarnation of the holder; later incarnations do not have the transaction
 * @param number a random number, so that an ID cannot be guessed
 */
public record TransactionId(HostId holder, long incarnation, long number) {
  private static final Pattern FORMAT =
      Pattern.compile("(?<holder>[^:]+):(?<incarnation>\\d{1,18}):(?<number>[0-9a-f]{16})");
  private static final int HEX_RADIX = 16;

  /** Rejects a null holder. */
  public TransactionId {
    Objects.requireNonNull(holder);
  }

  /** Parses the text of an ID; any other text fails as {@code TRANSACTION_UNKNOWN}. */
  public static TransactionId parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      throw AlderyardException.notRun(
          ErrorCode.TRANSACTION_UNKNOWN, "'" + text + "' is not a transaction id");
    }
    return new TransactionId(
        new HostId(matcher.group("holder")),
        Long.parseLong(matcher.group("incarnation")),
        Long.parseUnsignedLong(matcher.group("number"), HEX_RADIX));
  }

  @Override
  public String toString() {
    return "%s:%d:%016x".formatted(holder, incarnation, number);
  }
}
