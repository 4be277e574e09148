package org.alderyard.cli.command;

import org.alderyard.daemon.ExitCode;

/** A sub-command of the command line. */
public interface Command {

  /** Returns the name, arguments and options that the sub-command accepts. */
  CommandSpec spec();

  /**
   * Runs the sub-command and returns the exit code of the process.
   *
   * @throws UsageException if an argument or option is invalid
   * @throws org.alderyard.common.error.AlderyardException if the operation fails
   */
  ExitCode run(Invocation invocation);
}
