package org.alderyard.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.testkit.history.Operation.Result;

/**
 * What a proxy answered, or that it did not.
 *
 * @param result what is known of the request
 * @param body the answer's body; empty when there was none
 * @param token the session token of the answer
 * @param retryable whether the same request may be sent again
 * @param retryAfterMillis when the proxy asks to come back
 * @param code the error code, empty for an answer without error
 */
record CallerReply(
    Result result,
    Optional<JsonNode> body,
    Optional<String> token,
    boolean retryable,
    long retryAfterMillis,
    String code) {

  static CallerReply noAnswer(String code) {
    return new CallerReply(Result.UNKNOWN, Optional.empty(), Optional.empty(), true, 0, code);
  }

  /** The proxy never got the request: it was refused before a connection stood. */
  static CallerReply notSent(String code) {
    return new CallerReply(Result.NOT_RUN, Optional.empty(), Optional.empty(), true, 0, code);
  }

  static CallerReply of(JsonNode body, Optional<String> token) {
    if (!body.has("error")) {
      return new CallerReply(Result.OK, Optional.of(body), token, false, 0, "");
    }
    JsonNode error = body.path("error");
    Result result =
        switch (error.path("outcome").asText()) {
          case "NOT_RUN" -> Result.NOT_RUN;
          case "FAILED" -> Result.FAILED;
          default -> Result.UNKNOWN;
        };
    return new CallerReply(
        result,
        Optional.of(body),
        token,
        error.path("retryable").asBoolean(),
        error.path("retryAfterMillis").asLong(),
        error.path("code").asText());
  }

  boolean fromReplica() {
    return servedBy("role").equals("replica");
  }

  String group() {
    return servedBy("group");
  }

  private String servedBy(String field) {
    return body.map(node -> node.path("servedBy").path(field).asText()).orElse("");
  }

  List<String> list() {
    List<String> values = new ArrayList<>();
    body.ifPresent(node -> node.path("result").forEach(value -> values.add(value.asText())));
    return values;
  }
}
