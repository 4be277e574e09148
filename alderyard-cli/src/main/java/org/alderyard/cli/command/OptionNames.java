package org.alderyard.cli.command;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Builds the options that sub-commands share. */
public final class OptionNames {
  /** The address of an operators' port. */
  public static final String OPERATOR = "operator";

  /** The file with the operators' key. */
  public static final String KEY_FILE = "key-file";

  /** Whether the output is JSON. */
  public static final String JSON = "json";

  private OptionNames() {}

  /** Returns an option with a value. */
  public static Option valued(String name, String value, String description) {
    return Option.builder().longOpt(name).hasArg().argName(value).desc(description).get();
  }

  /** Returns an option without a value. */
  public static Option flag(String name, String description) {
    return Option.builder().longOpt(name).desc(description).get();
  }

  /** Returns the options of every call to an operators' port. */
  public static Options operatorOptions() {
    return new Options()
        .addOption(
            valued(OPERATOR, "IP:PORT", "operators' port of any host; or ALDERYARD_OPERATOR"))
        .addOption(valued(KEY_FILE, "FILE", "file with the operators' key; or ALDERYARD_KEY_FILE"))
        .addOption(flag(JSON, "print the answer as JSON"));
  }
}
