package org.alderyard.cli.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.alderyard.common.http.Json;

/**
 * The results of an experiment.
 *
 * @param rows results of the checks, by promise
 * @param faults number of injections of each fault
 * @param notes reasons why the report is incomplete, for example unchecked keys
 */
record PromiseReport(List<PromiseRow> rows, Map<String, Integer> faults, List<String> notes) {

  /** Returns whether the report has no violations and no notes about unchecked data. */
  boolean isClean() {
    return rows.stream().allMatch(row -> row.violations() == 0) && notes.isEmpty();
  }

  /** Returns whether every promise was tested at least once; an untested promise is unproved. */
  boolean allTested() {
    return rows.stream().allMatch(row -> row.attempts() > 0);
  }

  JsonNode toJson() {
    var node = Json.object();
    var list = node.putArray("promises");
    rows.forEach(
        row ->
            list.addObject()
                .put("promise", row.promise())
                .put("attack", row.attack())
                .put("attempts", row.attempts())
                .put("violations", row.violations()));
    var counts = node.putObject("faults");
    faults.forEach(counts::put);
    var texts = node.putArray("notes");
    notes.forEach(texts::add);
    return node;
  }

  String toText() {
    StringBuilder text = new StringBuilder();
    text.append(String.format("%-62s %9s %10s%n", "promise", "attempts", "violations"));
    for (PromiseRow row : rows) {
      text.append(
          String.format(
              "%-62s %9d %10s%n",
              row.promise(),
              row.attempts(),
              row.attempts() == 0 ? "unproved" : Long.toString(row.violations())));
      text.append(String.format("    %s%n", row.attack()));
    }
    text.append(String.format("%nfaults%n"));
    faults.forEach((name, count) -> text.append(String.format("  %-60s %9d%n", name, count)));
    notes.forEach(note -> text.append(String.format("%s%n", note)));
    return text.toString();
  }
}
