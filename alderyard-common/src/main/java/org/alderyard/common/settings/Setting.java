package org.alderyard.common.settings;

import java.util.Objects;
import java.util.Optional;

/**
 * One setting: where it stands, what it accepts and what holds without it.
 *
 * @param section the section of the INI file
 * @param key the key in the section
 * @param type what values are accepted
 * @param preset the text that holds when the file gives none; empty when the setting is required or
 *     optional
 * @param required whether a file without it is refused
 * @param description what it does, with its unit
 * @param <T> the type of its value
 */
public record Setting<T>(
    String section,
    String key,
    SettingType<T> type,
    Optional<String> preset,
    boolean required,
    String description) {

  /** Checks. */
  public Setting {
    Objects.requireNonNull(section);
    Objects.requireNonNull(key);
    Objects.requireNonNull(type);
    Objects.requireNonNull(preset);
    Objects.requireNonNull(description);
  }

  /** Returns a setting that a file must give. */
  public static <T> Setting<T> required(
      String section, String key, SettingType<T> type, String description) {
    return new Setting<>(section, key, type, Optional.empty(), true, description);
  }

  /** Returns a setting that a file may leave out, and that has no value then. */
  public static <T> Setting<T> optional(
      String section, String key, SettingType<T> type, String description) {
    return new Setting<>(section, key, type, Optional.empty(), false, description);
  }

  /** Returns a setting that a file may leave out, with the value that holds then. */
  public static <T> Setting<T> preset(
      String section, String key, SettingType<T> type, String preset, String description) {
    return new Setting<>(section, key, type, Optional.of(preset), false, description);
  }

  /** Returns the section and key, as messages name the setting. */
  public String name() {
    return "[" + section + "] " + key;
  }
}
