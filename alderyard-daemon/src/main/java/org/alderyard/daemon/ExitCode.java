package org.alderyard.daemon;

/** Exit codes of the daemon and the command-line tool. */
public enum ExitCode {
  /** Success. */
  OK(0),
  /** The operation failed, or a check found a fault. */
  FAILED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** The settings are invalid. */
  SETTINGS(3),
  /** The data folder is damaged or not writable. */
  STORAGE(4),
  /** No host responded. */
  UNREACHABLE(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }
}
