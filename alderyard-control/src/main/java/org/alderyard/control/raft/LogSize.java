package org.alderyard.control.raft;

/**
 * Size of a range of the log, or a limit on it.
 *
 * @param entries the number of entries
 * @param bytes the serialized size of these entries
 */
public record LogSize(long entries, long bytes) {

  /** Returns a limit on the number of entries alone. */
  public static LogSize ofEntries(long entries) {
    return new LogSize(entries, Long.MAX_VALUE);
  }
}
