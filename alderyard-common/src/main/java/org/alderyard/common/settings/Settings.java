package org.alderyard.common.settings;

import java.nio.file.Path;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

/** The checked values of one file. */
public final class Settings {
  private final Path file;
  // By identity: settings are constants, and their comparison as records costs part of each start.
  private final Map<Setting<?>, Object> values;

  Settings(Path file, Map<Setting<?>, Object> values) {
    this.file = file;
    this.values = new IdentityHashMap<>(values);
  }

  /** Returns the file that the values come from. */
  public Path file() {
    return file;
  }

  /** Returns the value of a setting that is required or has a preset. */
  public <T> T get(Setting<T> setting) {
    return find(setting)
        .orElseThrow(() -> new IllegalStateException("no value for " + setting.name()));
  }

  /** Returns the value of a setting, if there is one. */
  @SuppressWarnings("unchecked") // The reader stores what the setting's own type parsed.
  public <T> Optional<T> find(Setting<T> setting) {
    return Optional.ofNullable((T) values.get(setting));
  }

  /** Returns a path, if there is one; a relative path starts at the folder of the file. */
  public Optional<Path> findPath(Setting<Path> setting) {
    return find(setting).map(path -> file.toAbsolutePath().resolveSibling(path).normalize());
  }
}
