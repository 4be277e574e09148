package org.alderyard.control.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.alderyard.common.error.FieldFault;

/** Reads the fields of one JSON object; what can't be read is noted and replaced by a preset. */
final class FieldReader {
  private final String object;
  private final JsonNode node;
  private final List<FieldFault> faults;

  FieldReader(String object, JsonNode node, List<FieldFault> faults) {
    this.object = object;
    this.node = node;
    this.faults = faults;
  }

  /** Notes each field that is not one of these. */
  void allow(Set<String> fields) {
    node.fieldNames()
        .forEachRemaining(
            field -> {
              if (!fields.contains(field)) {
                add(field, "present", String.join(", ", fields.stream().sorted().toList()));
              }
            });
  }

  String text(String field, String preset) {
    JsonNode value = node.path(field);
    if (value.isTextual()) {
      return value.asText();
    }
    if (!value.isMissingNode()) {
      add(field, value.toString(), "a string");
    }
    return preset;
  }

  int integer(String field, int preset) {
    return (int) number(field, preset, Integer.MAX_VALUE);
  }

  long number(String field, long preset, long max) {
    JsonNode value = node.path(field);
    if (value.isMissingNode()) {
      return preset;
    }
    if (value.isIntegralNumber() && value.canConvertToLong()) {
      long number = value.asLong();
      if (number >= 0 && number <= max) {
        return number;
      }
    }
    add(field, value.toString(), "a whole number, 0 to " + max);
    return preset;
  }

  boolean flag(String field, boolean preset) {
    JsonNode value = node.path(field);
    if (value.isBoolean()) {
      return value.asBoolean();
    }
    if (!value.isMissingNode()) {
      add(field, value.toString(), "true, false");
    }
    return preset;
  }

  List<String> texts(String field) {
    List<String> result = new ArrayList<>();
    JsonNode value = node.path(field);
    boolean list = value.isMissingNode() || value.isArray();
    if (!list) {
      add(field, value.toString(), "a list of strings");
      return result;
    }
    for (JsonNode item : value) {
      if (item.isTextual()) {
        result.add(item.asText());
      } else {
        add(field, item.toString(), "a string");
      }
    }
    return result;
  }

  void add(String field, String value, String accepted) {
    faults.add(new FieldFault(object, field, value, accepted));
  }
}
