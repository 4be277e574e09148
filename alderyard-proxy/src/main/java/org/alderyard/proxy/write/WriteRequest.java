package org.alderyard.proxy.write;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.alderyard.backend.LedgerKey;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.PoolState;

/**
 * One write of a caller, for one database group.
 *
 * @param pool the pool that the caller addressed
 * @param group the group that holds the key
 * @param key the key
 * @param text the statement
 * @param parameters its parameters, JSON values
 * @param ledgerKey the name of the request, if the caller gave one
 * @param requestedAtMillis when the caller first sent it, in milliseconds since 1970, if known
 * @param timeout how long the caller waits
 */
public record WriteRequest(
    PoolState pool,
    GroupId group,
    String key,
    String text,
    List<JsonNode> parameters,
    Optional<LedgerKey> ledgerKey,
    OptionalLong requestedAtMillis,
    Duration timeout) {

  /** Checks and copies. */
  public WriteRequest {
    Objects.requireNonNull(pool);
    Objects.requireNonNull(group);
    Objects.requireNonNull(key);
    Objects.requireNonNull(text);
    Objects.requireNonNull(ledgerKey);
    Objects.requireNonNull(requestedAtMillis);
    Objects.requireNonNull(timeout);
    parameters = List.copyOf(parameters);
  }
}
