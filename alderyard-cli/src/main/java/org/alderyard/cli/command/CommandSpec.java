package org.alderyard.cli.command;

import java.util.List;
import java.util.Objects;
import org.apache.commons.cli.Options;

/**
 * The immutable specification of a sub-command.
 *
 * @param name one or two words, for example {@code ticket apply}
 * @param summary one-line description for the list of sub-commands
 * @param arguments names of the required positional arguments, in order
 * @param options the accepted options
 */
public record CommandSpec(String name, String summary, List<String> arguments, Options options) {

  /** Rejects null components and copies the arguments. */
  public CommandSpec {
    Objects.requireNonNull(name);
    Objects.requireNonNull(summary);
    Objects.requireNonNull(options);
    arguments = List.copyOf(arguments);
  }

  /** Returns the name split at its spaces. */
  public List<String> words() {
    return List.of(name.split(" "));
  }
}
