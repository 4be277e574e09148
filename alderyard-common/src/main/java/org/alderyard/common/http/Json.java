package org.alderyard.common.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.FieldFault;

/** Reads and writes JSON objects as request and response bodies. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /** Returns a new, empty JSON object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /**
   * Parses a body that must be a JSON object.
   *
   * @throws AlderyardException with {@code MALFORMED_JSON} if the body is not a JSON object
   */
  public static JsonNode parseObject(byte[] body) {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (JsonProcessingException malformed) {
      throw AlderyardException.notRun(
          ErrorCode.MALFORMED_JSON,
          "the body is not JSON: "
              + malformed.getOriginalMessage()
              + " at line "
              + malformed.getLocation().getLineNr()
              + ", column "
              + malformed.getLocation().getColumnNr());
    } catch (IOException malformed) {
      throw AlderyardException.notRun(ErrorCode.MALFORMED_JSON, "the body can't be read");
    }
    if (node == null || !node.isObject()) {
      throw AlderyardException.notRun(
          ErrorCode.MALFORMED_JSON, "the body is not a JSON object; accepted is an object");
    }
    return node;
  }

  /** Returns the UTF-8 encoding of a value. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException impossible) {
      throw AlderyardException.unknown(
          ErrorCode.INTERNAL, "a value can't be written as JSON", impossible);
    }
  }

  /** Returns the indented text of a value, for display. */
  public static String pretty(JsonNode node) {
    return node.toPrettyString();
  }

  /** Returns the response body that describes a failure. */
  public static ObjectNode error(AlderyardException failure) {
    ObjectNode body = object();
    ObjectNode error = body.putObject("error");
    error.put("code", failure.code().name());
    error.put("message", failure.getMessage());
    error.put("outcome", failure.outcome().name());
    error.put("retryable", failure.code().retryable());
    failure.retryAfterMillis().ifPresent(millis -> error.put("retryAfterMillis", millis));
    if (!failure.faults().isEmpty()) {
      ArrayNode faults = error.putArray("faults");
      for (FieldFault fault : failure.faults()) {
        faults
            .addObject()
            .put("object", fault.object())
            .put("field", fault.field())
            .put("value", fault.value())
            .put("accepted", fault.accepted());
      }
    }
    return body;
  }
}
