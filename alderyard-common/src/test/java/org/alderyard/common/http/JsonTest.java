package org.alderyard.common.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.junit.jupiter.api.Test;

/** Parsing of bodies from outside of the system. */
class JsonTest {

  private static JsonNode parse(String text) {
    return Json.parseObject(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String nested(int depth) {
    return "{\"a\":" + "[".repeat(depth - 1) + "]".repeat(depth - 1) + "}";
  }

  private static AlderyardException refusal(String text) {
    AlderyardException refused = assertThrows(AlderyardException.class, () -> parse(text));
    assertThat(refused.code()).isEqualTo(ErrorCode.MALFORMED_JSON);
    return refused;
  }

  /** Guards against a body that fails with another error, as its fault has no location. */
  @Test
  void refusesBodyBeyondLimits() {
    for (String text :
        List.of(
            nested(Json.MAX_DEPTH + 1),
            nested(50_000),
            "{\"a\":" + "9".repeat(5_000) + "}",
            "{\"a\":0." + "9".repeat(5_000) + "}",
            "{\"" + "n".repeat(Json.MAX_NAME_CHARS + 1) + "\":1}")) {
      assertThat(refusal(text).getMessage()).contains("limit");
    }
  }

  @Test
  void parsesBodyAtLimits() {
    assertThat(parse(nested(Json.MAX_DEPTH)).has("a")).isTrue();
    assertThat(parse("{\"a\":" + "9".repeat(Json.MAX_NUMBER_CHARS) + "}").has("a")).isTrue();
  }

  /** Guards against keys in errors and logs: a text without quotes was quoted by the error. */
  @Test
  void errorDoesNotQuoteBody() {
    for (String text :
        List.of("{\"a\":secret}", "{\"a\":[\"x\",secret]}", "{\"secret\":1,\"secret\":2}")) {
      assertThat(refusal(text).getMessage()).doesNotContain("secret");
    }
  }

  /** Guards against a body that runs out of stack and leaves its request without a response. */
  @Test
  void stackOverflowOfReaderIsTyped() {
    AlderyardException refused =
        assertThrows(
            AlderyardException.class,
            () -> Json.readObject("{}".getBytes(StandardCharsets.UTF_8), JsonTest::recurse));

    assertThat(refused.code()).isEqualTo(ErrorCode.MALFORMED_JSON);
  }

  private static int recurse(JsonNode node) {
    return recurse(node) + 1;
  }
}
