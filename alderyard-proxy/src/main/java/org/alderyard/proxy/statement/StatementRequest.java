package org.alderyard.proxy.statement;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.RequestId;
import org.alderyard.proxy.freshness.Freshness;

/**
 * A caller's statement.
 *
 * @param pool the pool that it addresses
 * @param key the key that chooses the database group
 * @param kind whether it may change data
 * @param text the statement
 * @param parameters its parameters, JSON values
 * @param freshness what a read asks of its data
 * @param caller who asks, the scope of request ids
 * @param requestId the name of the request, so that a resend runs at most once
 * @param requestedAtMillis when the caller first sent it, in milliseconds since 1970, if it says so
 * @param sessionToken the token that the caller got last
 * @param timeout how long the caller waits
 */
public record StatementRequest(
    PoolName pool,
    String key,
    StatementKind kind,
    String text,
    List<JsonNode> parameters,
    Freshness freshness,
    CallerId caller,
    Optional<RequestId> requestId,
    OptionalLong requestedAtMillis,
    Optional<String> sessionToken,
    Duration timeout) {

  /** Checks and copies. */
  public StatementRequest {
    Objects.requireNonNull(pool);
    Objects.requireNonNull(key);
    Objects.requireNonNull(kind);
    Objects.requireNonNull(text);
    Objects.requireNonNull(freshness);
    Objects.requireNonNull(caller);
    Objects.requireNonNull(requestId);
    Objects.requireNonNull(requestedAtMillis);
    Objects.requireNonNull(sessionToken);
    Objects.requireNonNull(timeout);
    parameters = List.copyOf(parameters);
  }
}
