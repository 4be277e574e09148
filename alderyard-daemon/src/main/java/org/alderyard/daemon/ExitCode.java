package org.alderyard.daemon;

/** The exit codes of both binaries. */
public enum ExitCode {
  /** All went well. */
  OK(0),
  /** The work was done and failed, or a check found a fault. */
  FAILED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** The settings are wrong. */
  SETTINGS(3),
  /** The data folder is damaged or can't be written. */
  STORAGE(4),
  /** No host answered. */
  UNREACHABLE(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the number that the shell sees. */
  public int number() {
    return number;
  }
}
