package org.alderyard.common.settings;

import java.util.Objects;
import java.util.Optional;

/**
 * The definition of one setting: its location, the accepted values and the default value.
 *
 * @param section the section of the INI file
 * @param key the key in the section
 * @param type the accepted values
 * @param preset the text of the default value; empty if the setting is required or optional
 * @param required whether a file without this setting is refused
 * @param description the effect of the setting, with its unit
 * @param <T> the type of the value
 */
public record Setting<T>(
    String section,
    String key,
    SettingType<T> type,
    Optional<String> preset,
    boolean required,
    String description) {

  /** Checks that no component is null. */
  public Setting {
    Objects.requireNonNull(section);
    Objects.requireNonNull(key);
    Objects.requireNonNull(type);
    Objects.requireNonNull(preset);
    Objects.requireNonNull(description);
  }

  /** Returns a setting that every file must contain. */
  public static <T> Setting<T> required(
      String section, String key, SettingType<T> type, String description) {
    return new Setting<>(section, key, type, Optional.empty(), true, description);
  }

  /** Returns a setting that a file may omit and that has no default value. */
  public static <T> Setting<T> optional(
      String section, String key, SettingType<T> type, String description) {
    return new Setting<>(section, key, type, Optional.empty(), false, description);
  }

  /** Returns a setting that a file may omit, with its default value. */
  public static <T> Setting<T> preset(
      String section, String key, SettingType<T> type, String preset, String description) {
    return new Setting<>(section, key, type, Optional.of(preset), false, description);
  }

  /** Returns the section and key in the form used by messages. */
  public String name() {
    return "[" + section + "] " + key;
  }
}
