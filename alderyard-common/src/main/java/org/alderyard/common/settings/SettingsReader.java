package org.alderyard.common.settings;

import java.io.IOException;
import java.io.StringReader;
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

/** Reads and validates INI files according to a specification; reading stops at the first error. */
public final class SettingsReader {
  private final SettingsSpec spec;

  /** Creates a reader for files of the given specification. */
  public SettingsReader(SettingsSpec spec) {
    this.spec = spec;
  }

  /**
   * Reads a file.
   *
   * @throws SettingsException if the file can't be read or a value is not accepted
   */
  public Settings read(Path file) {
    Map<String, List<String>> textsByName = textsByName(file, entries(file));
    Map<Setting<?>, Object> values = new IdentityHashMap<>();
    for (Setting<?> setting : spec.settings()) {
      List<String> texts = textsByName.getOrDefault(setting.name(), List.of());
      parseValue(file, texts, setting).ifPresent(value -> values.put(setting, value));
    }
    return new Settings(file, values);
  }

  private List<PlainIni.Entry> entries(Path file) {
    String content;
    try {
      content = Files.readString(file);
    } catch (IOException unreadable) {
      throw new SettingsException(file, "", "", "the file can't be read: " + unreadable);
    }
    return PlainIni.parse(content.lines().toList()).orElseGet(() -> parseByLibrary(file, content));
  }

  private List<PlainIni.Entry> parseByLibrary(Path file, String content) {
    INIConfiguration ini = new INIConfiguration();
    try {
      ini.read(new StringReader(content));
      return collectEntries(file, ini);
    } catch (IOException unreadable) {
      throw new SettingsException(file, "", "", "the file can't be read: " + unreadable);
    } catch (ConfigurationException malformed) {
      throw new SettingsException(file, "", "", "the file is not INI: " + malformed.getMessage());
    }
  }

  private List<PlainIni.Entry> collectEntries(Path file, INIConfiguration ini) {
    List<PlainIni.Entry> entries = new ArrayList<>();
    for (ImmutableNode section : ini.getNodeModel().getInMemoryRepresentation()) {
      if (section.getValue() != null) {
        throw new SettingsException(
            file, "", "", "a key precedes the first section; accepted: " + spec.sections());
      }
      // An unknown section is refused even if it is empty.
      requireKnownSection(file, section.getNodeName());
      for (ImmutableNode key : section) {
        entries.add(
            new PlainIni.Entry(
                section.getNodeName(), key.getNodeName(), String.valueOf(key.getValue())));
      }
    }
    return entries;
  }

  /** Returns the texts of each setting by its name. */
  private Map<String, List<String>> textsByName(Path file, List<PlainIni.Entry> entries) {
    Map<String, List<String>> textsByName = new HashMap<>();
    for (PlainIni.Entry entry : entries) {
      requireKnownSection(file, entry.section());
      Setting<?> setting =
          spec.find(entry.section(), entry.key())
              .orElseThrow(() -> unknownKey(file, entry.section(), entry.key()));
      textsByName
          .computeIfAbsent(setting.name(), settingName -> new ArrayList<>())
          .add(entry.text());
    }
    return textsByName;
  }

  private void requireKnownSection(Path file, String section) {
    if (!spec.hasSection(section)) {
      throw new SettingsException(
          file, section, "", "the section is unknown; accepted: " + spec.sections());
    }
  }

  private SettingsException unknownKey(Path file, String section, String key) {
    return new SettingsException(
        file, section, key, "the key is unknown; accepted: " + spec.keys(section));
  }

  private static <T> Optional<T> parseValue(Path file, List<String> texts, Setting<T> setting) {
    if (texts.size() > 1) {
      throw new SettingsException(
          file, setting.section(), setting.key(), "the key is given " + texts.size() + " times");
    }
    Optional<String> text = texts.isEmpty() ? setting.preset() : Optional.of(texts.get(0).trim());
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
