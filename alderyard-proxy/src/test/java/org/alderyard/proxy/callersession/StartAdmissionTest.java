package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.stream.LongStream;
import org.alderyard.backend.session.RefusalCode;
import org.junit.jupiter.api.Test;

class StartAdmissionTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int CALLERS = 2_000;
  private static final long SEED = 65;

  private final StartAdmission waiting = new StartAdmission(StartOpenings.WAIT, TIMEOUT);
  private final StartAdmission refusing = new StartAdmission(StartOpenings.REFUSE, TIMEOUT);

  private static long retryMillis(String text) {
    return Long.parseLong(text.replaceAll(".*retry after (\\d+) ms", "$1"));
  }

  /** Guards deployments that set nothing against another wait or text. */
  @Test
  void presetWaitsAndKeepsTheText() {
    assertThat(waiting.maxWait()).isEqualTo(TIMEOUT);
    assertThat(waiting.refusal(500, 0.5).text())
        .isEqualTo("this host has not received a configuration yet");
  }

  /** Answers the callers of all hosts after a loss of power: told early that nothing ran. */
  @Test
  void refusesBeforeAnotherHostCouldNoLongerServe() {
    assertThat(refusing.maxWait()).isAtMost(Duration.ofMillis(63));
    assertThat(refusing.refusal(500, 0.5).code()).isEqualTo(RefusalCode.BUSY);
  }

  /** Guards against callers that are refused together and return together. */
  @Test
  void spreadsRetriesOverTheirMean() {
    Random random = new Random(SEED);
    long[] perTenth =
        LongStream.range(0, CALLERS)
            .map(caller -> retryMillis(refusing.refusal(1_000, random.nextDouble()).text()))
            .collect(
                () -> new long[10],
                (counts, millis) -> counts[(int) Math.min(9, (millis - 250) / 50)]++,
                (left, right) -> {});
    assertThat(LongStream.of(perTenth).max().getAsLong()).isAtMost(CALLERS / 10 * 3 / 2);
  }

  /** Guards against callers that use up their retries within a moment, or wait past their limit. */
  @Test
  void retryTimeGrowsWithTheStartWithinBounds() {
    assertThat(retryMillis(refusing.refusal(0, 0.5).text())).isEqualTo(200);
    assertThat(retryMillis(refusing.refusal(1_200, 0.5).text())).isEqualTo(600);
    assertThat(retryMillis(refusing.refusal(60_000, 0.5).text())).isEqualTo(1_000);
  }
}
