package org.alderyard.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Prints a JSON response as text: a line for each scalar field and a table for each array. */
final class TextTable {

  private TextTable() {}

  static void print(JsonNode response, PrintStream out) {
    for (Map.Entry<String, JsonNode> field : response.properties()) {
      if (field.getValue().isArray()) {
        printList(field.getKey(), field.getValue(), out);
      } else {
        out.println(field.getKey() + ": " + format(field.getValue()));
      }
    }
  }

  private static void printList(String name, JsonNode array, PrintStream out) {
    out.println(name + ": " + array.size());
    Set<String> columns = new LinkedHashSet<>();
    array.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
    if (columns.isEmpty()) {
      array.forEach(value -> out.println("  " + format(value)));
      return;
    }
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.copyOf(columns));
    array.forEach(
        row -> rows.add(columns.stream().map(column -> format(row.path(column))).toList()));
    rows.forEach(row -> out.println(formatRow(row, rows)));
  }

  private static String formatRow(List<String> row, List<List<String>> rows) {
    StringBuilder line = new StringBuilder(" ");
    for (int column = 0; column < row.size(); column++) {
      int index = column;
      int width = rows.stream().mapToInt(other -> other.get(index).length()).max().orElse(0);
      line.append(' ').append(String.format("%-" + Math.max(1, width) + "s", row.get(column)));
    }
    return line.toString().stripTrailing();
  }

  private static String format(JsonNode value) {
    if (value.isNull() || value.isMissingNode()) {
      return "-";
    }
    return value.isValueNode() ? value.asText() : value.toString();
  }
}
