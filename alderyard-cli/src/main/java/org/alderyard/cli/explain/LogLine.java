package org.alderyard.cli.explain;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;

/**
 * One structured line of a process.
 *
 * @param source the file that it comes from
 * @param timeMillis when it was logged, by the clock of its host
 * @param level its level
 * @param message its event and fields
 */
record LogLine(String source, long timeMillis, String level, String message) {
  private static final String EVENT = "event=";

  LogLine {
    Objects.requireNonNull(source);
    Objects.requireNonNull(level);
    Objects.requireNonNull(message);
  }

  /**
   * Reads one line.
   *
   * @throws AlderyardException when it is not a line of this system
   */
  static LogLine parse(String source, int number, String text) {
    JsonNode node;
    try {
      // Tools that collect lines put names and times in front of them.
      node = Json.parseObject(text.substring(Math.max(0, text.indexOf('{'))).getBytes(UTF_8));
    } catch (AlderyardException unreadable) {
      throw wrong(source, number, unreadable.getMessage());
    }
    if (!node.path("timestamp").isIntegralNumber() || !node.path("formattedMessage").isTextual()) {
      throw wrong(source, number, "timestamp and formattedMessage are missing");
    }
    return new LogLine(
        source,
        node.path("timestamp").asLong(),
        node.path("level").asText("INFO"),
        node.path("formattedMessage").asText());
  }

  private static AlderyardException wrong(String source, int number, String reason) {
    return AlderyardException.notRun(
        ErrorCode.BAD_REQUEST,
        source + ":" + number + " is no JSON line of alderyardd (" + reason + ")");
  }

  /** Returns the name of its event. */
  Optional<String> event() {
    return message.startsWith(EVENT) ? Optional.of(field("event").orElse("")) : Optional.empty();
  }

  /** Returns the value of a field. */
  Optional<String> field(String name) {
    String start = name + "=";
    int at = message.startsWith(start) ? 0 : message.indexOf(" " + start) + 1;
    if (at == 0 && !message.startsWith(start)) {
      return Optional.empty();
    }
    String rest = message.substring(at + start.length());
    boolean quoted = rest.startsWith("\"");
    int end = quoted ? rest.indexOf('"', 1) : rest.indexOf(' ');
    String value = end < 0 ? rest : rest.substring(0, end);
    return Optional.of(quoted ? value.substring(1) : value);
  }
}
