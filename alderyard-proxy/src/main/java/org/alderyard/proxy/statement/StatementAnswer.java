package org.alderyard.proxy.statement;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import java.util.OptionalLong;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * The answer to a statement, with its source.
 *
 * @param result the server's result, a JSON value
 * @param group the database group that holds the key
 * @param server the server that answered
 * @param position the position of the data that a read returned, or the position of a write
 * @param replica whether a replica answered
 * @param ageMillis the upper bound of the age of the data, in milliseconds; empty if the bound was
 *     not requested or is unknown
 * @param sessionToken the token for the caller's next request
 */
public record StatementAnswer(
    JsonNode result,
    GroupId group,
    ServerId server,
    Position position,
    boolean replica,
    OptionalLong ageMillis,
    String sessionToken) {

  /** Validates the components. */
  public StatementAnswer {
    Objects.requireNonNull(result);
    Objects.requireNonNull(group);
    Objects.requireNonNull(server);
    Objects.requireNonNull(position);
    Objects.requireNonNull(ageMillis);
    Objects.requireNonNull(sessionToken);
  }
}
