package org.alderyard.common.settings;

import java.util.Optional;
import java.util.function.Function;

/**
 * Reads the text of a setting.
 *
 * @param accepted what is accepted, for the message that refuses a value
 * @param parser returns the value, or nothing when the text is not accepted
 * @param <T> the type of the value
 */
public record SettingType<T>(String accepted, Function<String, Optional<T>> parser) {

  /** Returns the value of a text, or nothing when it is not accepted. */
  public Optional<T> parse(String text) {
    return parser.apply(text);
  }
}
