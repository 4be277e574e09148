package org.alderyard.testkit.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.http.BackendJson;
import org.alderyard.common.id.Position;

/**
 * A log entry of a stand-in server.
 *
 * @param position the term and index of the entry
 * @param writes the writes of one transaction
 * @param result the result returned to the caller
 */
record LogEntry(Position position, List<BackendStatement> writes, JsonNode result) {

  JsonNode toJson() {
    var node = BackendJson.object();
    node.put("term", position.term()).put("index", position.index());
    var array = node.putArray("writes");
    writes.forEach(write -> array.add(BackendJson.statement(write)));
    node.set("result", result);
    return node;
  }

  static LogEntry fromJson(JsonNode node) {
    List<BackendStatement> writes = new ArrayList<>();
    node.path("writes").forEach(write -> writes.add(BackendJson.statement(write)));
    return new LogEntry(BackendJson.position(node), writes, node.path("result"));
  }

  Optional<org.alderyard.backend.LedgerKey> ledgerKey() {
    return writes.isEmpty() ? Optional.empty() : writes.get(0).ledgerKey();
  }

  /**
   * Returns whether the statements are equal. Terms are ignored, since a resend may carry a later
   * term.
   */
  boolean hasSameContent(List<BackendStatement> others) {
    return writes.stream()
        .map(LogEntry::content)
        .toList()
        .equals(others.stream().map(LogEntry::content).toList());
  }

  private static List<Object> content(BackendStatement write) {
    return List.of(write.key(), write.text(), write.parameters());
  }
}
