package org.alderyard.cli.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/**
 * One run of a sub-command: what was given, and where its output goes.
 *
 * @param spec what the sub-command accepts
 * @param line the parsed options
 * @param arguments the arguments, as many as the specification names
 * @param out where results go
 * @param err where progress and errors go
 */
public record Invocation(
    CommandSpec spec, CommandLine line, List<String> arguments, PrintStream out, PrintStream err) {

  /** Returns the value of an option, if it was given. */
  public Optional<String> option(String name) {
    return Optional.ofNullable(line.getOptionValue(name));
  }

  /** Returns the value of an option that must be given. */
  public String required(String name) {
    return option(name).orElseThrow(() -> new UsageException(spec, "--" + name + " is missing"));
  }

  /** Returns whether an option was given. */
  public boolean has(String name) {
    return line.hasOption(name);
  }

  /** Returns the whole number of an option, in a range. */
  public long number(String name, long preset, long min, long max) {
    Optional<String> text = option(name);
    if (text.isEmpty()) {
      return preset;
    }
    try {
      long value = Long.parseLong(text.get());
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException notNumber) {
      // Falls through to the typed error below.
    }
    throw new UsageException(
        spec,
        "--" + name + " is '" + text.get() + "'; accepted: a whole number " + min + " to " + max);
  }
}
