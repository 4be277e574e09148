package org.alderyard.common.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The definitions of all settings that a file may contain; immutable. */
public final class SettingsSpec {
  private final Map<String, Setting<?>> byName;

  /**
   * Creates a specification.
   *
   * @throws IllegalArgumentException if two settings have the same name
   */
  public SettingsSpec(List<Setting<?>> settings) {
    Map<String, Setting<?>> map = new LinkedHashMap<>();
    for (Setting<?> setting : settings) {
      if (map.put(setting.name(), setting) != null) {
        throw new IllegalArgumentException("duplicate setting: " + setting.name());
      }
    }
    byName = map;
  }

  /** Returns the settings in the order of their definition. */
  public List<Setting<?>> settings() {
    return List.copyOf(byName.values());
  }

  Optional<Setting<?>> find(String section, String key) {
    return Optional.ofNullable(byName.get("[" + section + "] " + key));
  }

  boolean hasSection(String section) {
    return byName.values().stream().anyMatch(setting -> setting.section().equals(section));
  }

  List<String> sections() {
    return byName.values().stream().map(Setting::section).distinct().toList();
  }

  List<String> keys(String section) {
    return byName.values().stream()
        .filter(setting -> setting.section().equals(section))
        .map(Setting::key)
        .toList();
  }
}
