package org.alderyard.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.testkit.history.Operation.Result;

/**
 * The response of a proxy to a request, or the reason why there is none.
 *
 * @param result known result of the request
 * @param body body of the response; empty if there is no response
 * @param token session token of the response, if the response has one
 * @param retryable whether the same request may be sent again
 * @param retryAfterMillis retry delay that the proxy requests; 0 if none
 * @param code error code; empty for a successful response
 */
record CallerReply(
    Result result,
    Optional<JsonNode> body,
    Optional<String> token,
    boolean retryable,
    long retryAfterMillis,
    String code) {

  static CallerReply noResponse(String code) {
    return new CallerReply(Result.UNKNOWN, Optional.empty(), Optional.empty(), true, 0, code);
  }

  /** Returns a reply for a request that was never sent because the connection was refused. */
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

  boolean servedByReplica() {
    return servedBy("role").equals("replica");
  }

  String group() {
    return servedBy("group");
  }

  private String servedBy(String field) {
    return body.map(node -> node.path("servedBy").path(field).asText()).orElse("");
  }

  List<String> values() {
    List<String> values = new ArrayList<>();
    body.ifPresent(node -> node.path("result").forEach(value -> values.add(value.asText())));
    return values;
  }
}
