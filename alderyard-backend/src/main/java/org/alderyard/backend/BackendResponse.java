package org.alderyard.backend;

import com.fasterxml.jackson.databind.JsonNode;
import org.alderyard.common.id.Position;

/**
 * Response of a backend server to a statement.
 *
 * @param result the result as a JSON value
 * @param position the position of the server's log after the statement; for a write, that of its
 *     entry
 */
public record BackendResponse(JsonNode result, Position position) {}
