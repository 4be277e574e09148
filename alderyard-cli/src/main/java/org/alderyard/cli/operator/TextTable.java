package org.alderyard.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Renders a JSON answer as lines of text: single values first, then a table for each list. */
final class TextTable {

  private TextTable() {}

  static void print(JsonNode answer, PrintStream out) {
    for (Map.Entry<String, JsonNode> field : answer.properties()) {
      if (field.getValue().isArray()) {
        printList(field.getKey(), field.getValue(), out);
      } else {
        out.println(field.getKey() + ": " + text(field.getValue()));
      }
    }
  }

  private static void printList(String name, JsonNode list, PrintStream out) {
    out.println(name + ": " + list.size());
    Set<String> columns = new LinkedHashSet<>();
    list.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
    if (columns.isEmpty()) {
      list.forEach(value -> out.println("  " + text(value)));
      return;
    }
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.copyOf(columns));
    list.forEach(row -> rows.add(columns.stream().map(name2 -> text(row.path(name2))).toList()));
    rows.forEach(row -> out.println(line(row, rows)));
  }

  private static String line(List<String> row, List<List<String>> rows) {
    StringBuilder line = new StringBuilder(" ");
    for (int column = 0; column < row.size(); column++) {
      int index = column;
      int width = rows.stream().mapToInt(other -> other.get(index).length()).max().orElse(0);
      line.append(' ').append(String.format("%-" + Math.max(1, width) + "s", row.get(column)));
    }
    return line.toString().stripTrailing();
  }

  private static String text(JsonNode value) {
    if (value.isNull() || value.isMissingNode()) {
      return "-";
    }
    return value.isValueNode() ? value.asText() : value.toString();
  }
}
