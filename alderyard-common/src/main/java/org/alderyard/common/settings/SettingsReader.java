package org.alderyard.common.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

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
    Map<String, List<String>> given = given(file, load(file));
    Map<Setting<?>, Object> values = new IdentityHashMap<>();
    for (Setting<?> setting : spec.settings()) {
      List<String> texts = given.getOrDefault(setting.name(), List.of());
      value(file, texts, setting).ifPresent(value -> values.put(setting, value));
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

  /**
   * Returns the texts of each setting by its name.
   *
   * <p>The nodes are walked as they are: the library's views of sections cost each start a tenth of
   * its processor time.
   */
  private Map<String, List<String>> given(Path file, INIConfiguration ini) {
    Map<String, List<String>> given = new HashMap<>();
    for (ImmutableNode section : ini.getNodeModel().getInMemoryRepresentation()) {
      if (section.getValue() != null) {
        throw new SettingsException(
            file, "", "", "a key stands before the first section; accepted: " + spec.sections());
      }
      String name = section.getNodeName();
      if (!spec.hasSection(name)) {
        throw new SettingsException(
            file, name, "", "the section is unknown; accepted: " + spec.sections());
      }
      for (ImmutableNode key : section) {
        Setting<?> setting =
            spec.find(name, key.getNodeName())
                .orElseThrow(() -> unknown(file, name, key.getNodeName()));
        given
            .computeIfAbsent(setting.name(), first -> new ArrayList<>())
            .add(String.valueOf(key.getValue()));
      }
    }
    return given;
  }

  private SettingsException unknown(Path file, String section, String key) {
    return new SettingsException(
        file, section, key, "the key is unknown; accepted: " + spec.keys(section));
  }

  private static <T> Optional<T> value(Path file, List<String> given, Setting<T> setting) {
    if (given.size() > 1) {
      throw new SettingsException(
          file, setting.section(), setting.key(), "the key is given " + given.size() + " times");
    }
    Optional<String> text = given.isEmpty() ? setting.preset() : Optional.of(given.get(0).trim());
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
