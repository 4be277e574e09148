package org.alderyard.cli.command;

import java.util.List;
import java.util.Objects;
import org.apache.commons.cli.Options;

/**
 * What a sub-command accepts; it never changes once it is built.
 *
 * @param name one or two words, as {@code ticket apply}
 * @param summary one line for the overview
 * @param arguments the names of the arguments that must follow, in order
 * @param options the options
 */
public record CommandSpec(String name, String summary, List<String> arguments, Options options) {

  /** Checks and copies. */
  public CommandSpec {
    Objects.requireNonNull(name);
    Objects.requireNonNull(summary);
    Objects.requireNonNull(options);
    arguments = List.copyOf(arguments);
  }

  /** Returns the words of the name. */
  public List<String> words() {
    return List.of(name.split(" "));
  }
}
