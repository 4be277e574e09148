package org.alderyard.backend.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.junit.jupiter.api.Test;

/** Guards against a write that counts as held at the beginning of the log, or as not run. */
class OddResponsesTest {

  @Test
  void responseThatCannotBeReadHasUnknownOutcome() {
    for (String body :
        List.of(
            "{\"result\":1,\"position\":{}}",
            "{\"result\":1,\"position\":{\"term\":3}}",
            "{\"result\":1,\"position\":{\"term\":3,\"index\":\"7\"}}",
            "{\"result\":1,\"position\":{\"term\":3,\"index\":-1}}",
            "{\"result\":1,\"position\":{\"term\":3,\"index\":18446744073709551623}}",
            "{\"result\":1,\"position\":7}",
            "{\"result\":" + "[".repeat(500) + "]".repeat(500) + "}",
            "{\"result\":" + "9".repeat(5_000) + "}",
            "[]",
            "")) {
      AlderyardException malformed =
          assertThrows(
              AlderyardException.class,
              () -> BackendJson.response(BackendJson.parse(body.getBytes(StandardCharsets.UTF_8))));
      assertThat(malformed.code()).isEqualTo(ErrorCode.BACKEND_PROTOCOL);
      assertThat(malformed.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    }
  }
}
