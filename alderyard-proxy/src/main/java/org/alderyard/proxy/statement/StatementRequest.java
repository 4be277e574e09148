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
 * @param pool the pool that the statement addresses
 * @param key the key that selects the database group
 * @param kind whether the statement may change data
 * @param text the text of the statement
 * @param parameters the parameters of the statement, JSON values
 * @param freshness the freshness that a read requires
 * @param caller the caller, the scope of request ids
 * @param requestId the id of the request, which ensures that a resend runs at most once
 * @param requestedAtMillis the time at which the caller first sent the request, in milliseconds
 *     since 1970, if given
 * @param sessionToken the token that the caller received last
 * @param timeout the time for which the caller waits
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

  /** Validates the components and copies the parameters. */
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
