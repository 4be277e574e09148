package org.alderyard.cli.prove;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class OverlapScheduleTest {
  private static final int FAULTS = 60;

  private static List<String> names(long seed) {
    OverlapSchedule schedule = new OverlapSchedule(seed);
    return Stream.generate(schedule::next).limit(FAULTS).map(Fault::name).toList();
  }

  @Test
  void sameSeedGivesSameFaults() {
    assertThat(names(7)).isEqualTo(names(7));
    assertThat(names(7)).isNotEqualTo(names(8));
  }

  @Test
  void everyNetworkFaultOverlapsWithProcessFault() {
    List<String> names = names(7);
    for (Fault link : LinkFaults.all()) {
      assertThat(names.stream().anyMatch(name -> name.endsWith(" + " + link.name()))).isTrue();
    }
    assertThat(names.stream().anyMatch(name -> !name.contains(" + "))).isTrue();
  }
}
