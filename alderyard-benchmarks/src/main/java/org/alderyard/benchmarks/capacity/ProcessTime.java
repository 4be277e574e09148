package org.alderyard.benchmarks.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the processor time used by a process from {@code /proc}. */
final class ProcessTime {
  /** Index among the fields after the process name; user and system time are the 12th and 13th. */
  private static final int USER_FIELD = 11;

  private static final int SYSTEM_FIELD = 12;
  private static final long MILLIS_PER_TICK = 10;

  private ProcessTime() {}

  static long millis(String processId) throws IOException {
    String stat = Files.readString(Path.of("/proc", processId, "stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks = Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD]);
    return ticks * MILLIS_PER_TICK;
  }
}
