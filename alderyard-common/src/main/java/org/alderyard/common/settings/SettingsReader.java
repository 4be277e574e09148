package org.alderyard.common.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** Reads an INI file against a specification; the first fault is a typed error. */
public final class SettingsReader {
  private final SettingsSpec spec;

  /** Creates a reader for files of this specification. */
  public SettingsReader(SettingsSpec spec) {
    this.spec = spec;
  }

  /**
   * Reads a file.
   *
   * @throws SettingsException when the file can't be read or a value is not accepted
   */
  public Settings read(Path file) {
    INIConfiguration ini = load(file);
    rejectUnknown(file, ini);
    Map<Setting<?>, Object> values = new HashMap<>();
    for (Setting<?> setting : spec.settings()) {
      value(file, ini, setting).ifPresent(value -> values.put(setting, value));
    }
    return new Settings(file, values);
  }

  private static INIConfiguration load(Path file) {
    INIConfiguration ini = new INIConfiguration();
    try (Reader reader = Files.newBufferedReader(file)) {
      ini.read(reader);
      return ini;
    } catch (IOException unreadable) {
      throw new SettingsException(file, "", "", "the file can't be read: " + unreadable);
    } catch (ConfigurationException malformed) {
      throw new SettingsException(file, "", "", "the file is not INI: " + malformed.getMessage());
    }
  }

  private void rejectUnknown(Path file, INIConfiguration ini) {
    for (String section : ini.getSections()) {
      if (section == null) {
        throw new SettingsException(
            file, "", "", "a key stands before the first section; accepted: " + spec.sections());
      }
      if (!spec.hasSection(section)) {
        throw new SettingsException(
            file, section, "", "the section is unknown; accepted: " + spec.sections());
      }
      Iterator<String> keys = ini.getSection(section).getKeys();
      while (keys.hasNext()) {
        String key = plainKey(keys.next());
        if (spec.find(section, key).isEmpty()) {
          throw new SettingsException(
              file, section, key, "the key is unknown; accepted: " + spec.keys(section));
        }
      }
    }
  }

  /** The library writes a dot inside a key twice. */
  private static String plainKey(String key) {
    return key.replace("..", ".");
  }

  private static <T> Optional<T> value(Path file, INIConfiguration ini, Setting<T> setting) {
    SubnodeConfiguration section = ini.getSection(setting.section());
    List<Object> given = section.getList(setting.key(), List.of());
    if (given.size() > 1) {
      throw new SettingsException(
          file, setting.section(), setting.key(), "the key is given " + given.size() + " times");
    }
    Optional<String> text =
        given.isEmpty() ? setting.preset() : Optional.of(given.get(0).toString().trim());
    if (text.isEmpty()) {
      if (setting.required()) {
        throw new SettingsException(
            file,
            setting.section(),
            setting.key(),
            "the key is missing; accepted: " + setting.type().accepted());
      }
      return Optional.empty();
    }
    Optional<T> value = setting.type().parse(text.get());
    if (value.isEmpty()) {
      throw new SettingsException(
          file,
          setting.section(),
          setting.key(),
          "'" + text.get() + "' is not accepted; accepted: " + setting.type().accepted());
    }
    return value;
  }
}
