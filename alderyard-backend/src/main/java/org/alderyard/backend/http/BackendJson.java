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
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.LedgerKey;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.RequestId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.TermStart;

/** The JSON bodies of the backend protocol, for both of its ends. */
public final class BackendJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private BackendJson() {}

  /** Returns an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Reads a body; one that is no JSON object is a typed error. */
  public static JsonNode parse(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      if (node != null && node.isObject()) {
        return node;
      }
    } catch (java.io.IOException damaged) {
      throw unreadable("it is not JSON");
    }
    throw unreadable("it is not a JSON object");
  }

  private static AlderyardException unreadable(String reason) {
    return AlderyardException.unknown(
        ErrorCode.BACKEND_PROTOCOL,
        "a body of the backend protocol can't be read: " + reason,
        null);
  }

  /** Returns the bytes of a body. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException impossible) {
      throw unreadable(impossible.getMessage());
    }
  }

  /** Returns the body of a statement. */
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

  /** Returns the statement of a body. */
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

  /** Returns the body of an answer. */
  public static ObjectNode answer(BackendAnswer answer) {
    ObjectNode node = object();
    node.set("result", answer.result());
    node.set("position", position(answer.position()));
    return node;
  }

  /** Returns the answer of a body. */
  public static BackendAnswer answer(JsonNode node) {
    if (!node.has("position")) {
      throw unreadable("an answer without a position");
    }
    return new BackendAnswer(node.path("result"), position(node.path("position")));
  }

  private static ObjectNode position(Position position) {
    return object().put("term", position.term()).put("index", position.index());
  }

  /** Returns the position of a body's part. */
  public static Position position(JsonNode node) {
    return new Position(node.path("term").asLong(), node.path("index").asLong());
  }

  /** Returns the body of a server's state. */
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
    ArrayNode starts = node.putArray("termStarts");
    for (TermStart start : report.termStarts()) {
      starts.addObject().put("term", start.term()).put("startIndex", start.startIndex());
    }
    return node;
  }

  /** Returns the state of a body. */
  public static ServerReport report(JsonNode node) {
    List<TermStart> starts = new ArrayList<>();
    for (JsonNode start : node.path("termStarts")) {
      starts.add(new TermStart(start.path("term").asLong(), start.path("startIndex").asLong()));
    }
    try {
      return new ServerReport(
          new ServerId(node.path("server").asText()),
          node.path("incarnation").asLong(),
          new GroupId(node.path("group").asText()),
          node.path("term").asLong(),
          ServerRole.valueOf(node.path("role").asText().toUpperCase(Locale.ROOT)),
          position(node.path("held")),
          position(node.path("applied")),
          starts,
          node.path("ledger").asBoolean());
    } catch (IllegalArgumentException unknownRole) {
      throw unreadable("role '" + node.path("role").asText() + "'");
    }
  }

  /** Returns the body of a refusal. */
  public static ObjectNode refusal(BackendException refused) {
    ObjectNode node = object();
    node.putObject("error")
        .put("code", refused.refusal().name())
        .put("message", refused.getMessage());
    return node;
  }

  /** Returns the error of a body that holds a refusal. */
  public static AlderyardException refusal(JsonNode node) {
    JsonNode error = node.path("error");
    try {
      return new BackendException(
          BackendException.Refusal.valueOf(error.path("code").asText()),
          error.path("message").asText());
    } catch (IllegalArgumentException newerServer) {
      return unreadable("refusal '" + error.path("code").asText() + "'");
    }
  }
}
