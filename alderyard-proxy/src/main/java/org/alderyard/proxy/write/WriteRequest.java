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
 * A write of a caller to one database group.
 *
 * @param pool the pool that the caller addressed
 * @param group the group that holds the key
 * @param key the key that selects the group
 * @param text the text of the statement
 * @param parameters the parameters of the statement, JSON values
 * @param ledgerKey the caller and request ID, if the caller gave a request ID
 * @param requestedAtMillis when the caller first sent the request, in milliseconds since 1970, if
 *     known
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

  /** Rejects null components and copies the parameters. */
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
