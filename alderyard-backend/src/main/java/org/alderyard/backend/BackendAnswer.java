package org.alderyard.backend;

import com.fasterxml.jackson.databind.JsonNode;
import org.alderyard.common.id.Position;

/**
 * What a backend server answered to a statement.
 *
 * @param result the result, a JSON value
 * @param position the position of the server's log after the statement; for a write, its own entry
 */
public record BackendAnswer(JsonNode result, Position position) {}
