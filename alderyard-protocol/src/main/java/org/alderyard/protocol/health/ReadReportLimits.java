package org.alderyard.protocol.health;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.alderyard.protocol.generated.control.ServerReads;

/**
 * Bounds of the reports between hosts. With them a host sends and receives less than 1 KB of
 * reports a second: one exchange has at most 10 entries of 20 bytes and 16 entries of 24 bytes.
 */
public final class ReadReportLimits {
  /** Minimum time between two exchanges of a host; a heartbeat may follow another at once. */
  public static final long MIN_EXCHANGE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Servers in a host's report; a host uses the servers of a few groups. */
  public static final int MAX_REPORTED_SERVERS = 10;

  /** Servers in a reply. */
  public static final int MAX_REPLIED_SERVERS = 16;

  /** Maximum count, so that it takes two bytes. */
  static final int MAX_COUNT = (1 << 14) - 1;

  /** Maximum mean response time and cold time, so that each takes three bytes: 2.1 s, 35 min. */
  static final int MAX_THREE_BYTES = (1 << 21) - 1;

  /** Cold servers first, then those with failures and refusals, then those with answers. */
  static final Comparator<ServerReads> MOST_IMPORTANT_FIRST =
      Comparator.comparing((ServerReads reads) -> reads.getColdRemainingMillis() == 0)
          .thenComparing(
              Comparator.comparingInt((ServerReads reads) -> reads.getFailed() + reads.getRefused())
                  .reversed())
          .thenComparing(Comparator.comparingInt(ServerReads::getAnswered).reversed());

  private ReadReportLimits() {}

  /** Returns the most important entries, at most this many, with their values bounded. */
  public static List<ServerReads> bounded(List<ServerReads> entries, int maxEntries) {
    return entries.stream()
        .sorted(MOST_IMPORTANT_FIRST)
        .limit(maxEntries)
        .map(ReadReportLimits::bounded)
        .toList();
  }

  private static ServerReads bounded(ServerReads reads) {
    return reads.toBuilder()
        .setAnswered(bounded(reads.getAnswered(), MAX_COUNT))
        .setFailed(bounded(reads.getFailed(), MAX_COUNT))
        .setRefused(bounded(reads.getRefused(), MAX_COUNT))
        .setMeanMicros(bounded(reads.getMeanMicros(), MAX_THREE_BYTES))
        .setColdRemainingMillis(bounded(reads.getColdRemainingMillis(), MAX_THREE_BYTES))
        .build();
  }

  private static int bounded(int value, int max) {
    return Integer.compareUnsigned(value, max) > 0 ? max : value;
  }
}
