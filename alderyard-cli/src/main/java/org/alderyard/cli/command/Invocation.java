package org.alderyard.cli.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/**
 * The parsed command line of a sub-command and its output streams.
 *
 * @param spec specification of the sub-command
 * @param line the parsed options
 * @param arguments positional arguments; their number matches the specification
 * @param out stream for results
 * @param err stream for progress and errors
 */
public record Invocation(
    CommandSpec spec, CommandLine line, List<String> arguments, PrintStream out, PrintStream err) {

  /** Returns the value of an option, or empty if the option is absent. */
  public Optional<String> option(String name) {
    return Optional.ofNullable(line.getOptionValue(name));
  }

  /**
   * Returns the value of a mandatory option.
   *
   * @throws UsageException if the option is absent
   */
  public String requiredOption(String name) {
    return option(name).orElseThrow(() -> new UsageException(spec, "--" + name + " is missing"));
  }

  /** Returns whether the command line contains an option. */
  public boolean hasOption(String name) {
    return line.hasOption(name);
  }

  /**
   * Returns the integer value of an option, or the default value if the option is absent.
   *
   * @param min lowest accepted value
   * @param max highest accepted value
   * @throws UsageException if the value is not an integer or is out of range
   */
  public long numberOption(String name, long defaultValue, long min, long max) {
    Optional<String> text = option(name);
    if (text.isEmpty()) {
      return defaultValue;
    }
    try {
      long value = Long.parseLong(text.get());
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException notNumber) {
      // The usage error below covers this case too.
    }
    throw new UsageException(
        spec,
        "--" + name + " is '" + text.get() + "'; accepted: a whole number " + min + " to " + max);
  }
}
