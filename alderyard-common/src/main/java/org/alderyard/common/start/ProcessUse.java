package org.alderyard.common.start;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Times of this process as counted by the operating system, with a resolution of 10 ms.
 *
 * @param elapsedMillis time since the process was created
 * @param processorMillis processor time of all threads, in user and system mode
 */
public record ProcessUse(long elapsedMillis, long processorMillis) {
  private static final Path STAT = Path.of("/proc/self/stat");
  private static final Path UPTIME = Path.of("/proc/uptime");

  /** The unit of times in {@code /proc/self/stat} is the same on all Linux platforms. */
  private static final int MILLIS_PER_TICK = 10;

  private static final int MILLIS_PER_SECOND = 1_000;

  /** Indexes in the fields that follow the program's name, which may contain spaces. */
  private static final int USER_FIELD = 11;

  private static final int SYSTEM_FIELD = 12;
  private static final int CREATED_FIELD = 19;

  /** Reads the times; empty on operating systems that do not provide them in this form. */
  public static Optional<ProcessUse> read() {
    try {
      return parse(Files.readString(STAT), Files.readString(UPTIME));
    } catch (IOException unavailable) {
      return Optional.empty();
    }
  }

  /**
   * Parses the operating system's tables; empty if one of them has an unexpected form.
   *
   * @param stat the content of {@code /proc/self/stat}
   * @param uptime the content of {@code /proc/uptime}
   */
  static Optional<ProcessUse> parse(String stat, String uptime) {
    String[] fields = stat.substring(stat.lastIndexOf(')') + 1).trim().split(" ");
    try {
      long processorTicks =
          Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD]);
      long createdMillis = Long.parseLong(fields[CREATED_FIELD]) * MILLIS_PER_TICK;
      long uptimeMillis =
          Math.round(
              Double.parseDouble(uptime.substring(0, uptime.indexOf(' '))) * MILLIS_PER_SECOND);
      return Optional.of(
          new ProcessUse(
              Math.max(0, uptimeMillis - createdMillis), processorTicks * MILLIS_PER_TICK));
    } catch (NumberFormatException | IndexOutOfBoundsException unexpectedForm) {
      return Optional.empty();
    }
  }
}
