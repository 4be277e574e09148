package org.alderyard.proxy.write;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * The answer to an acknowledged write.
 *
 * @param result the result from the server, a JSON value
 * @param server the primary that ran the write
 * @param position the position of the write in the log of the group
 */
public record WriteAnswer(JsonNode result, ServerId server, Position position) {

  /** Rejects null components. */
  public WriteAnswer {
    Objects.requireNonNull(result);
    Objects.requireNonNull(server);
    Objects.requireNonNull(position);
  }
}
