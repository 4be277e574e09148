package org.alderyard.testkit.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.HashMap;
import java.util.Map;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendStatement;

/** Key-value data of a stand-in server with the statements get, put and append. */
final class KeyValues {
  private final Map<String, JsonNode> values;

  KeyValues() {
    this(Map.of());
  }

  KeyValues(Map<String, JsonNode> values) {
    this.values = new HashMap<>(values);
  }

  KeyValues copy() {
    return new KeyValues(values);
  }

  JsonNode run(BackendStatement statement) {
    return switch (statement.text()) {
      case "get" -> values.getOrDefault(statement.key(), JsonNodeFactory.instance.nullNode());
      case "put" -> put(statement.key(), parameter(statement));
      case "append" -> append(statement.key(), parameter(statement));
      default ->
          throw new BackendException(
              BackendException.Refusal.STATEMENT_FAILED,
              "unknown statement '" + statement.text() + "'; supported are get, put and append");
    };
  }

  private JsonNode put(String key, JsonNode value) {
    values.put(key, value);
    return value;
  }

  private JsonNode append(String key, JsonNode value) {
    ArrayNode list = JsonNodeFactory.instance.arrayNode();
    JsonNode current = values.get(key);
    if (current instanceof ArrayNode items) {
      list.addAll(items);
    }
    list.add(value);
    values.put(key, list);
    return JsonNodeFactory.instance.numberNode(list.size());
  }

  private static JsonNode parameter(BackendStatement statement) {
    if (statement.parameters().isEmpty()) {
      throw new BackendException(
          BackendException.Refusal.STATEMENT_FAILED,
          statement.text() + " requires one JSON value as its parameter");
    }
    return statement.parameters().get(0);
  }
}
