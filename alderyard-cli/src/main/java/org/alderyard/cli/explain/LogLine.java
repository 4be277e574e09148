package org.alderyard.cli.explain;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;

/**
 * A structured log line of a process.
 *
 * @param source name of the log file without its extension
 * @param timeMillis wall-clock time of the logging host, in milliseconds since the epoch
 * @param level log level
 * @param message event name and fields
 */
record LogLine(String source, long timeMillis, String level, String message) {
  private static final String EVENT = "event=";

  LogLine {
    Objects.requireNonNull(source);
    Objects.requireNonNull(level);
    Objects.requireNonNull(message);
  }

  /**
   * Parses a line of a log file.
   *
   * @throws AlderyardException if the line is not a JSON log line of alderyardd
   */
  static LogLine parse(String source, int number, String text) {
    JsonNode node;
    try {
      // Log collectors prepend names and timestamps to the JSON object.
      node = Json.parseObject(text.substring(Math.max(0, text.indexOf('{'))).getBytes(UTF_8));
    } catch (AlderyardException unreadable) {
      throw malformed(source, number, unreadable.getMessage());
    }
    if (!node.path("timestamp").isIntegralNumber() || !node.path("formattedMessage").isTextual()) {
      throw malformed(source, number, "timestamp and formattedMessage are missing");
    }
    return new LogLine(
        source,
        node.path("timestamp").asLong(),
        node.path("level").asText("INFO"),
        node.path("formattedMessage").asText());
  }

  private static AlderyardException malformed(String source, int number, String reason) {
    return AlderyardException.notRun(
        ErrorCode.BAD_REQUEST,
        source + ":" + number + " is not a JSON log line of alderyardd (" + reason + ")");
  }

  /** Returns the event name, or empty if the message has no event. */
  Optional<String> event() {
    return message.startsWith(EVENT) ? Optional.of(field("event").orElse("")) : Optional.empty();
  }

  /** Returns the value of a field without its quotes, or empty if the field is absent. */
  Optional<String> field(String name) {
    String prefix = name + "=";
    int index = message.startsWith(prefix) ? 0 : message.indexOf(" " + prefix) + 1;
    if (index == 0 && !message.startsWith(prefix)) {
      return Optional.empty();
    }
    String rest = message.substring(index + prefix.length());
    boolean quoted = rest.startsWith("\"");
    int end = quoted ? rest.indexOf('"', 1) : rest.indexOf(' ');
    String value = end < 0 ? rest : rest.substring(0, end);
    return Optional.of(quoted ? value.substring(1) : value);
  }
}
