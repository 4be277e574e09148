package org.alderyard.cli;

/** The command line of {@code alderyard}. */
public final class Main {

  private Main() {}

  /** Runs one sub-command. */
  public static void main(String[] args) {
    System.exit(2);
  }
}
