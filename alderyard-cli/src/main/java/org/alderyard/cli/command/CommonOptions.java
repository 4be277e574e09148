package org.alderyard.cli.command;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Names and factory methods of the options that several sub-commands share. */
public final class CommonOptions {
  /** Option for the address of a host's operators' port. */
  public static final String OPERATOR = "operator";

  /** Option for the file that contains the operators' key. */
  public static final String KEY_FILE = "key-file";

  /** Option that selects JSON output. */
  public static final String JSON = "json";

  private CommonOptions() {}

  /** Returns an option that takes a value; {@code value} is its placeholder in the help. */
  public static Option valued(String name, String value, String description) {
    return Option.builder().longOpt(name).hasArg().argName(value).desc(description).get();
  }

  /** Returns an option that takes no value. */
  public static Option flag(String name, String description) {
    return Option.builder().longOpt(name).desc(description).get();
  }

  /** Returns the options of sub-commands that send requests to an operators' port. */
  public static Options operatorOptions() {
    return new Options()
        .addOption(
            valued(OPERATOR, "IP:PORT", "operators' port of any host; default: ALDERYARD_OPERATOR"))
        .addOption(
            valued(KEY_FILE, "FILE", "file with the operators' key; default: ALDERYARD_KEY_FILE"))
        .addOption(flag(JSON, "print the response as JSON"));
  }
}
