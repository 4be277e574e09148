package org.alderyard.common.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Parses INI files that consist only of sections, comment lines and single-line values without
 * quotes and escapes.
 *
 * <p>Avoids loading the INI library at the start of a host. The library reads all other files.
 */
final class PlainIni {
  /** Characters that the library gives a meaning within values. */
  private static final String SPECIAL = "\"'\\;#";

  private PlainIni() {}

  /**
   * A value as it is written in the file.
   *
   * @param section the name of the section
   * @param key the key in the section
   * @param text the value without surrounding whitespace
   */
  record Entry(String section, String key, String text) {}

  /** Returns the values in the order of the file; empty if a line has any other form. */
  static Optional<List<Entry>> parse(List<String> lines) {
    List<Entry> entries = new ArrayList<>();
    String section = "";
    boolean sectionHasKeys = true;
    for (String untrimmed : lines) {
      String line = untrimmed.trim();
      if (line.isEmpty() || line.charAt(0) == '#' || line.charAt(0) == ';') {
        continue;
      }
      if (line.charAt(0) == '[') {
        section = line.substring(1, Math.max(1, line.length() - 1));
        if (!sectionHasKeys || !isName(section) || line.charAt(line.length() - 1) != ']') {
          return Optional.empty();
        }
        sectionHasKeys = false;
        continue;
      }
      int separator = line.indexOf('=');
      String key = line.substring(0, Math.max(0, separator)).trim();
      String text = line.substring(separator + 1).trim();
      if (section.isEmpty() || !isName(key) || !isPlainText(text)) {
        return Optional.empty();
      }
      entries.add(new Entry(section, key, text));
      sectionHasKeys = true;
    }
    return sectionHasKeys ? Optional.of(entries) : Optional.empty();
  }

  private static boolean isName(String text) {
    for (int i = 0; i < text.length(); i++) {
      char letter = text.charAt(i);
      boolean allowed =
          letter >= 'a' && letter <= 'z' || letter >= '0' && letter <= '9' || letter == '-';
      if (!allowed) {
        return false;
      }
    }
    return !text.isEmpty();
  }

  private static boolean isPlainText(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (SPECIAL.indexOf(text.charAt(i)) >= 0) {
        return false;
      }
    }
    return !text.isEmpty();
  }
}
