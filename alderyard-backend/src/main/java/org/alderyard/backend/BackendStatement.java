package org.alderyard.backend;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A statement for a backend server.
 *
 * @param kind whether it may change data
 * @param key the data key that the statement accesses
 * @param text the statement text
 * @param parameters the parameters as JSON values
 * @param term the group's term as the sender knows it; a server at another term refuses the
 *     statement
 * @param ledgerKey the key under which the server records a write, so that a resent write gets the
 *     recorded response and does not run twice; only servers that report a ledger use the key
 */
public record BackendStatement(
    StatementKind kind,
    String key,
    String text,
    List<JsonNode> parameters,
    long term,
    Optional<LedgerKey> ledgerKey) {

  /** Rejects null components and copies the list. */
  public BackendStatement {
    Objects.requireNonNull(kind);
    Objects.requireNonNull(key);
    Objects.requireNonNull(text);
    Objects.requireNonNull(ledgerKey);
    parameters = List.copyOf(parameters);
  }
}
