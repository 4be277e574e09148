package org.alderyard.common.settings;

import java.nio.file.Path;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

/** The validated values of one settings file. */
public final class Settings {
  private final Path file;
  // Keyed by identity: settings are constants, and comparing them as records would slow down each
  // start.
  private final Map<Setting<?>, Object> values;

  Settings(Path file, Map<Setting<?>, Object> values) {
    this.file = file;
    this.values = new IdentityHashMap<>(values);
  }

  /** Returns the file from which the values were read. */
  public Path file() {
    return file;
  }

  /**
   * Returns the value of a setting that is required or has a default value.
   *
   * @throws IllegalStateException if the setting has no value
   */
  public <T> T get(Setting<T> setting) {
    return find(setting)
        .orElseThrow(() -> new IllegalStateException("no value for " + setting.name()));
  }

  /** Returns the value of a setting, if there is one. */
  @SuppressWarnings("unchecked") // The reader stores what the setting's own type parsed.
  public <T> Optional<T> find(Setting<T> setting) {
    return Optional.ofNullable((T) values.get(setting));
  }

  /**
   * Returns the value of a path setting, if there is one; relative paths are resolved against the
   * folder of the settings file.
   */
  public Optional<Path> findPath(Setting<Path> setting) {
    return find(setting).map(path -> file.toAbsolutePath().resolveSibling(path).normalize());
  }
}
