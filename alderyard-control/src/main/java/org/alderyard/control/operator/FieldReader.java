package org.alderyard.control.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.alderyard.common.error.FieldFault;

/**
 * Reads the fields of one JSON object. A value that is not valid is replaced by a default and
 * recorded as a fault.
 */
final class FieldReader {
  private final String object;
  private final JsonNode node;
  private final List<FieldFault> faults;

  FieldReader(String object, JsonNode node, List<FieldFault> faults) {
    this.object = object;
    this.node = node;
    this.faults = faults;
  }

  /** Records a fault for each field whose name is not in {@code fields}. */
  void reportUnknownFields(Set<String> fields) {
    node.fieldNames()
        .forEachRemaining(
            field -> {
              if (!fields.contains(field)) {
                addFault(field, "present", String.join(", ", fields.stream().sorted().toList()));
              }
            });
  }

  String text(String field, String defaultValue) {
    JsonNode value = node.path(field);
    if (value.isTextual()) {
      return value.asText();
    }
    if (!value.isMissingNode()) {
      addFault(field, value.toString(), "a string");
    }
    return defaultValue;
  }

  int integer(String field, int defaultValue) {
    return (int) number(field, defaultValue, Integer.MAX_VALUE);
  }

  long number(String field, long defaultValue, long max) {
    JsonNode value = node.path(field);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    if (value.isIntegralNumber() && value.canConvertToLong()) {
      long number = value.asLong();
      if (number >= 0 && number <= max) {
        return number;
      }
    }
    addFault(field, value.toString(), "an integer from 0 to " + max);
    return defaultValue;
  }

  boolean flag(String field, boolean defaultValue) {
    JsonNode value = node.path(field);
    if (value.isBoolean()) {
      return value.asBoolean();
    }
    if (!value.isMissingNode()) {
      addFault(field, value.toString(), "true, false");
    }
    return defaultValue;
  }

  List<String> textList(String field) {
    List<String> result = new ArrayList<>();
    JsonNode value = node.path(field);
    boolean absentOrArray = value.isMissingNode() || value.isArray();
    if (!absentOrArray) {
      addFault(field, value.toString(), "an array of strings");
      return result;
    }
    for (JsonNode item : value) {
      if (item.isTextual()) {
        result.add(item.asText());
      } else {
        addFault(field, item.toString(), "a string");
      }
    }
    return result;
  }

  void addFault(String field, String value, String accepted) {
    faults.add(new FieldFault(object, field, value, accepted));
  }
}
