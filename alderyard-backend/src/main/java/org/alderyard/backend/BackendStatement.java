package org.alderyard.backend;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A statement for a backend server.
 *
 * @param kind whether it may change data
 * @param key the key that it is about
 * @param text the statement
 * @param parameters its parameters, JSON values
 * @param term the term of the group that the sender acts in; a server of another term refuses it
 * @param ledgerKey where to record a write so that a resend is answered without a second run; only
 *     servers that announce this ability honour it
 */
public record BackendStatement(
    StatementKind kind,
    String key,
    String text,
    List<JsonNode> parameters,
    long term,
    Optional<LedgerKey> ledgerKey) {

  /** Checks and copies. */
  public BackendStatement {
    Objects.requireNonNull(kind);
    Objects.requireNonNull(key);
    Objects.requireNonNull(text);
    Objects.requireNonNull(ledgerKey);
    parameters = List.copyOf(parameters);
  }
}
