package org.alderyard.common.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests text of senders in the log, and the number of lines that they cause. */
class LogTextTest {
  private static final int MAX_CHARS = 20;
  private static final char LINE_SEPARATOR = (char) 0x2028;
  private static final char NEXT_LINE = (char) 0x85;

  // Guards against a forged log line in a name that a caller sends.
  @Test
  void textThatEndsLineOrQuotesIsReplaced() {
    assertThat(LogText.sanitize("a\r\nevent=x \"b\"" + LINE_SEPARATOR + NEXT_LINE + "c", MAX_CHARS))
        .isEqualTo("a??event=x ?b???c");
  }

  @Test
  void longTextIsTruncated() {
    assertThat(LogText.sanitize("x".repeat(1_000), MAX_CHARS))
        .isEqualTo("x".repeat(MAX_CHARS) + "...");
  }

  // Guards against a log that refused callers fill.
  @Test
  void linesOfOneSecondAreLimitedAndCounted() {
    LogLimiter limiter = new LogLimiter(2);

    assertThat(limiter.tryLog(0)).hasValue(0);
    assertThat(limiter.tryLog(1)).hasValue(0);
    assertThat(limiter.tryLog(2)).isEmpty();
    assertThat(limiter.tryLog(3)).isEmpty();
    assertThat(limiter.tryLog(TimeUnit.SECONDS.toNanos(1))).hasValue(2);
    assertThat(limiter.tryLog(TimeUnit.SECONDS.toNanos(1))).hasValue(0);
  }
}
