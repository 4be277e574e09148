package org.alderyard.common.settings;

import java.util.Optional;
import java.util.function.Function;

/**
 * Parses the text of a setting.
 *
 * @param accepted a description of the accepted values, for error messages
 * @param parser returns the value, or empty if the text is not accepted
 * @param <T> the type of the value
 */
public record SettingType<T>(String accepted, Function<String, Optional<T>> parser) {

  /** Returns the value of a text, or empty if the text is not accepted. */
  public Optional<T> parse(String text) {
    return parser.apply(text);
  }
}
