package org.alderyard.cli.prove;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the totals and failures that a soak run reports. */
class SoakReportTest {
  private static PromiseReport reportOfSeed(
      long attempts, long violations, Map<String, Integer> faults) {
    return new PromiseReport(
        List.of(new PromiseRow("no write is lost", "kills", attempts, violations)),
        faults,
        List.of());
  }

  @Test
  void totalsAddUpSeedsAndCountOverlappingFaultsSeparately() {
    SoakReport soak = new SoakReport();
    soak.add(reportOfSeed(100, 0, Map.of("kill", 2, "kill + delay", 3)));
    soak.add(reportOfSeed(50, 1, Map.of("delay", 1)));

    String text = soak.toText(7, 2);

    assertThat(text).contains("seeds 7 to 8");
    assertThat(text).containsMatch("no write is lost +150 checks +1 broken");
    assertThat(text).containsMatch("kill +5");
    assertThat(text).containsMatch("delay +4");
    assertThat(soak.allPassed()).isTrue();
  }

  @Test
  void failedSeedIsReported() {
    SoakReport soak = new SoakReport();
    soak.addFailure(9, "the folder with its logs");

    assertThat(soak.allPassed()).isFalse();
    assertThat(soak.toText(9, 1)).contains("failed seeds: 1");
    assertThat(soak.toText(9, 1)).contains("seed 9: the folder with its logs");
  }
}
