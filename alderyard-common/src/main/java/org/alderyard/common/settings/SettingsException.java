package org.alderyard.common.settings;

import java.nio.file.Path;
import java.util.Objects;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/**
 * Indicates that a settings file can't be used; the message names the location, the value and the
 * accepted values.
 */
public class SettingsException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final transient Path file;
  private final String section;
  private final String key;

  /** Creates an error about one key; section and key are empty if the file itself is invalid. */
  public SettingsException(Path file, String section, String key, String problem) {
    super(ErrorCode.SETTINGS_INVALID, Outcome.NOT_RUN, message(file, section, key, problem));
    this.file = Objects.requireNonNull(file);
    this.section = Objects.requireNonNull(section);
    this.key = Objects.requireNonNull(key);
  }

  private static String message(Path file, String section, String key, String problem) {
    StringBuilder text = new StringBuilder(file.toString());
    if (!section.isEmpty()) {
      text.append(" [").append(section).append(']');
    }
    if (!key.isEmpty()) {
      text.append(' ').append(key);
    }
    return text.append(": ").append(problem).toString();
  }

  /** Returns the settings file that was read. */
  public Path file() {
    return file;
  }

  /** Returns the section; empty if the file itself is invalid. */
  public String section() {
    return section;
  }

  /** Returns the key; empty if the whole section or the file is invalid. */
  public String key() {
    return key;
  }
}
