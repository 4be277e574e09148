package org.alderyard.backend.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendResponse;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.LedgerKey;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.RequestId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.log.LogText;
import org.alderyard.common.view.TermStart;

/** Encodes and decodes the JSON bodies of the backend protocol, for clients and servers. */
public final class BackendJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static final int MAX_MESSAGE_CHARS = 600;
  private static final int MAX_QUOTED_CHARS = 64;

  private BackendJson() {}

  private static String quoted(JsonNode value) {
    return LogText.sanitize(value.asText(), MAX_QUOTED_CHARS);
  }

  /** Returns an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /**
   * Parses a body; throws {@code BACKEND_PROTOCOL} if the body is not a JSON object or exceeds the
   * limits of {@link Json}.
   */
  public static JsonNode parse(byte[] body) {
    try {
      return Json.parseObject(body);
    } catch (AlderyardException malformed) {
      // The statement may have run, whatever its response looks like.
      throw malformedBody(malformed.getMessage());
    }
  }

  private static AlderyardException malformedBody(String reason) {
    return AlderyardException.unknown(
        ErrorCode.BACKEND_PROTOCOL, "malformed body in the backend protocol: " + reason, null);
  }

  /** Serializes a body. */
  public static byte[] serialize(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException exception) {
      throw malformedBody(exception.getMessage());
    }
  }

  /** Encodes a statement. */
  public static ObjectNode statement(BackendStatement statement) {
    ObjectNode node = object();
    node.put("kind", statement.kind().name().toLowerCase(Locale.ROOT));
    node.put("key", statement.key());
    node.put("statement", statement.text());
    ArrayNode parameters = node.putArray("parameters");
    statement.parameters().forEach(parameters::add);
    node.put("term", statement.term());
    statement
        .ledgerKey()
        .ifPresent(
            key -> {
              node.put("callerId", key.caller().value());
              node.put("requestId", key.request().value());
            });
    return node;
  }

  /** Decodes a statement. */
  public static BackendStatement statement(JsonNode node) {
    List<JsonNode> parameters = new ArrayList<>();
    node.path("parameters").forEach(parameters::add);
    Optional<LedgerKey> ledgerKey =
        node.hasNonNull("requestId")
            ? Optional.of(
                new LedgerKey(
                    new CallerId(node.path("callerId").asText()),
                    new RequestId(node.path("requestId").asText())))
            : Optional.empty();
    return new BackendStatement(
        node.path("kind").asText().equals("write") ? StatementKind.WRITE : StatementKind.READ,
        node.path("key").asText(),
        node.path("statement").asText(),
        parameters,
        node.path("term").asLong(),
        ledgerKey);
  }

  /** Encodes the response to a statement. */
  public static ObjectNode response(BackendResponse response) {
    ObjectNode node = object();
    node.set("result", response.result());
    node.set("position", position(response.position()));
    return node;
  }

  /** Decodes the response to a statement; throws if the body has no position. */
  public static BackendResponse response(JsonNode node) {
    if (!node.has("position")) {
      throw malformedBody("the response has no position");
    }
    return new BackendResponse(node.path("result"), position(node.path("position")));
  }

  /** Returns a number; a missing one would count as the beginning of the log. */
  private static long number(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
      throw malformedBody(field + " is not a number of at least 0");
    }
    return value.asLong();
  }

  private static ObjectNode position(Position position) {
    return object().put("term", position.term()).put("index", position.index());
  }

  /** Decodes a log position; throws if a part of it is missing or invalid. */
  public static Position position(JsonNode node) {
    return new Position(number(node, "term"), number(node, "index"));
  }

  /** Encodes the state of a server. */
  public static ObjectNode report(ServerReport report) {
    ObjectNode node = object();
    node.put("server", report.server().value());
    node.put("incarnation", report.incarnation());
    node.put("group", report.group().value());
    node.put("term", report.term());
    node.put("role", report.role().name().toLowerCase(Locale.ROOT));
    node.set("held", position(report.held()));
    node.set("applied", position(report.applied()));
    node.put("ledger", report.ledger());
    ArrayNode termStarts = node.putArray("termStarts");
    for (TermStart termStart : report.termStarts()) {
      termStarts
          .addObject()
          .put("term", termStart.term())
          .put("startIndex", termStart.startIndex());
    }
    return node;
  }

  /** Decodes the state of a server; throws if the role is unknown. */
  public static ServerReport report(JsonNode node) {
    List<TermStart> termStarts = new ArrayList<>();
    for (JsonNode termStart : node.path("termStarts")) {
      termStarts.add(new TermStart(number(termStart, "term"), number(termStart, "startIndex")));
    }
    try {
      return new ServerReport(
          new ServerId(node.path("server").asText()),
          number(node, "incarnation"),
          new GroupId(node.path("group").asText()),
          number(node, "term"),
          ServerRole.valueOf(node.path("role").asText().toUpperCase(Locale.ROOT)),
          position(node.path("held")),
          position(node.path("applied")),
          termStarts,
          node.path("ledger").asBoolean());
    } catch (IllegalArgumentException unknownRole) {
      throw malformedBody("unknown role '" + quoted(node.path("role")) + "'");
    }
  }

  /** Encodes a refusal. */
  public static ObjectNode refusal(BackendException exception) {
    ObjectNode node = object();
    node.putObject("error")
        .put("code", exception.refusal().name())
        .put("message", exception.getMessage());
    return node;
  }

  /** Decodes a refusal; returns {@code BACKEND_PROTOCOL} if its code is unknown. */
  public static AlderyardException refusal(JsonNode node) {
    JsonNode error = node.path("error");
    try {
      return new BackendException(
          BackendException.Refusal.valueOf(error.path("code").asText()),
          LogText.sanitize(error.path("message").asText(), MAX_MESSAGE_CHARS));
    } catch (IllegalArgumentException unknownCode) {
      return malformedBody("unknown refusal code '" + quoted(error.path("code")) + "'");
    }
  }
}
