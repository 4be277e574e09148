package org.alderyard.cli.command;

import org.alderyard.daemon.ExitCode;

/** One sub-command. */
public interface Command {

  /** Returns what it accepts. */
  CommandSpec spec();

  /** Runs it; a wrong argument or a failed call is a typed error. */
  ExitCode run(Invocation invocation);
}
