package org.alderyard.proxy.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.RequestId;
import org.alderyard.common.log.LogText;
import org.alderyard.proxy.freshness.Freshness;
import org.alderyard.proxy.freshness.FreshnessMode;
import org.alderyard.proxy.statement.StatementAnswer;
import org.alderyard.proxy.statement.StatementRequest;

/** Reads and writes the JSON bodies of the HTTP interface for callers. */
public final class StatementJson {
  private static final long DEFAULT_DEADLINE_MILLIS = 5_000;
  private static final long MAX_DEADLINE_MILLIS = 600_000;

  private static final int MAX_QUOTED_CHARS = 64;

  private StatementJson() {}

  /**
   * Parses the body of a statement request. Throws {@code BAD_REQUEST}, with the name of the field,
   * if a field is invalid.
   */
  public static StatementRequest request(
      PoolName pool, JsonNode body, Optional<String> caller, Optional<String> token) {
    return new StatementRequest(
        pool,
        text(body, "key"),
        kind(body),
        text(body, "statement"),
        parameters(body),
        freshness(body.path("freshness")),
        new CallerId(caller.orElse("anonymous")),
        body.hasNonNull("requestId")
            ? Optional.of(new RequestId(text(body, "requestId")))
            : Optional.empty(),
        body.hasNonNull("requestedAtMillis")
            ? OptionalLong.of(number(body, "requestedAtMillis", 0, 0, Long.MAX_VALUE))
            : OptionalLong.empty(),
        token,
        deadline(body));
  }

  /** Returns the time for which the caller waits for the response. */
  static Duration deadline(JsonNode body) {
    return Duration.ofMillis(
        number(body, "deadlineMillis", DEFAULT_DEADLINE_MILLIS, 1, MAX_DEADLINE_MILLIS));
  }

  /** Returns the key that selects the database group. */
  static String key(JsonNode body) {
    return text(body, "key");
  }

  private static StatementKind kind(JsonNode body) {
    return switch (text(body, "kind")) {
      case "read" -> StatementKind.READ;
      case "write" -> StatementKind.WRITE;
      default -> throw invalid("kind", body.path("kind"), "\"read\" or \"write\"");
    };
  }

  private static List<JsonNode> parameters(JsonNode body) {
    JsonNode node = body.path("parameters");
    if (node.isMissingNode()) {
      return List.of();
    }
    if (!node.isArray()) {
      throw invalid("parameters", node, "an array");
    }
    List<JsonNode> parameters = new ArrayList<>();
    node.forEach(parameters::add);
    return parameters;
  }

  private static Freshness freshness(JsonNode node) {
    if (node.isMissingNode()) {
      return Freshness.SESSION;
    }
    if (!node.isObject()) {
      throw invalid("freshness", node, "an object");
    }
    FreshnessMode mode =
        switch (node.has("mode") ? text(node, "mode") : "session") {
          case "session" -> FreshnessMode.SESSION;
          case "bounded" -> FreshnessMode.BOUNDED;
          case "any" -> FreshnessMode.ANY;
          case "primary" -> FreshnessMode.PRIMARY;
          default ->
              throw invalid("freshness.mode", node.path("mode"), "session, bounded, any, primary");
        };
    OptionalLong maxStaleness =
        node.has("maxStalenessMillis")
            ? OptionalLong.of(number(node, "maxStalenessMillis", 0, 0, Integer.MAX_VALUE))
            : OptionalLong.empty();
    return new Freshness(mode, maxStaleness);
  }

  private static String text(JsonNode body, String field) {
    JsonNode node = body.path(field);
    if (!node.isTextual() || node.asText().isEmpty()) {
      throw invalid(field, node, "a non-empty string");
    }
    return node.asText();
  }

  private static long number(JsonNode body, String field, long defaultValue, long min, long max) {
    JsonNode node = body.path(field);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    if (!node.isIntegralNumber()
        || !node.canConvertToLong()
        || node.asLong() < min
        || node.asLong() > max) {
      throw invalid(field, node, "a whole number from " + min + " to " + max);
    }
    return node.asLong();
  }

  private static AlderyardException invalid(String field, JsonNode value, String accepted) {
    String actual = value.isContainerNode() ? "a list or object" : value.toString();
    if (value.isMissingNode()) {
      actual = "missing";
    }
    return AlderyardException.notRun(
        ErrorCode.BAD_REQUEST,
        field + " is " + LogText.sanitize(actual, MAX_QUOTED_CHARS) + "; accepted: " + accepted);
  }

  /** Returns the response body of a statement. */
  public static ObjectNode answer(StatementAnswer answer, HostId host) {
    ObjectNode body = Json.object();
    body.set("result", answer.result());
    ObjectNode servedBy = body.putObject("servedBy");
    servedBy.put("host", host.value());
    servedBy.put("group", answer.group().value());
    servedBy.put("server", answer.server().value());
    servedBy.put("role", (answer.replica() ? "REPLICA" : "PRIMARY").toLowerCase(Locale.ROOT));
    servedBy.put("term", answer.position().term());
    servedBy.put("position", answer.position().index());
    answer.ageMillis().ifPresent(millis -> servedBy.put("ageBoundMillis", millis));
    return body;
  }
}
