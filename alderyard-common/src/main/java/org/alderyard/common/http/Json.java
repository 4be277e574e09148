package org.alderyard.common.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.function.Function;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.FieldFault;

/**
 * Reads and writes JSON objects as request and response bodies.
 *
 * <p>A body with deeper nesting than {@link #MAX_DEPTH}, a number of more than {@link
 * #MAX_NUMBER_CHARS} characters or a field name of more than {@link #MAX_NAME_CHARS} characters is
 * rejected as malformed. The size of a body is bounded by the port that receives it.
 */
public final class Json {
  /** Writing and comparing a value takes stack for each level; threads have 256 kB of it. */
  public static final int MAX_DEPTH = 100;

  static final int MAX_NUMBER_CHARS = 1_000;
  static final int MAX_NAME_CHARS = 10_000;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder()
                          .maxNestingDepth(MAX_DEPTH)
                          .maxNumberLength(MAX_NUMBER_CHARS)
                          .maxNameLength(MAX_NAME_CHARS)
                          .build())
                  .build())
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
   * @throws AlderyardException with {@code MALFORMED_JSON} if the body is not a JSON object or
   *     exceeds a limit; the message does not quote the body, which may contain keys
   */
  public static JsonNode parseObject(byte[] body) {
    JsonNode node;
    try {
      node = MAPPER.readTree(utf8(body));
    } catch (StreamConstraintsException exceeded) {
      throw malformed("the body exceeds a limit: " + exceeded.getOriginalMessage());
    } catch (JsonProcessingException invalid) {
      throw malformed("the body is not JSON" + location(invalid.getLocation()));
    } catch (IOException unreadable) {
      throw malformed("the body is not UTF-8");
    }
    if (node == null || !node.isObject()) {
      throw malformed("the body is not a JSON object; accepted is an object");
    }
    if (hasUnpairedSurrogate(node)) {
      throw malformed("the body has half of a surrogate pair, which can't be encoded");
    }
    return node;
  }

  /** The parser would guess the encoding, and read invalid bytes as other characters. */
  private static Reader utf8(byte[] body) {
    return new InputStreamReader(
        new ByteArrayInputStream(body),
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPORT)
            .onUnmappableCharacter(CodingErrorAction.REPORT));
  }

  private static boolean hasUnpairedSurrogate(JsonNode node) {
    if (node.isTextual()) {
      return hasUnpairedSurrogate(node.textValue());
    }
    for (JsonNode child : node) {
      if (hasUnpairedSurrogate(child)) {
        return true;
      }
    }
    for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
      if (hasUnpairedSurrogate(names.next())) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasUnpairedSurrogate(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (!Character.isSurrogate(text.charAt(i))) {
        continue;
      }
      if (i + 1 == text.length()
          || !Character.isSurrogatePair(text.charAt(i), text.charAt(i + 1))) {
        return true;
      }
      i++;
    }
    return false;
  }

  /**
   * Parses a body that must be a JSON object, and converts it.
   *
   * @param reader converts the object; throws an {@link AlderyardException} if it is invalid
   * @throws AlderyardException as {@link #parseObject} and the reader; with {@code MALFORMED_JSON}
   *     if the reader runs out of stack
   */
  public static <T> T readObject(byte[] body, Function<JsonNode, T> reader) {
    try {
      return reader.apply(parseObject(body));
    } catch (StackOverflowError tooDeep) {
      throw malformed("the body is too deeply nested to be read");
    }
  }

  private static AlderyardException malformed(String reason) {
    return AlderyardException.notRun(ErrorCode.MALFORMED_JSON, reason);
  }

  /** Returns where a body is invalid; the parser does not know it for each fault. */
  private static String location(JsonLocation location) {
    return location == null
        ? ""
        : " at line " + location.getLineNr() + ", column " + location.getColumnNr();
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
