package org.alderyard.cli.prove;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Stream;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
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

  /** Guards against runs that lose more hosts at once than a system tolerates. */
  @Test
  void replacementOfHostOverlapsWithNoNetworkFault() {
    OverlapSchedule schedule = new OverlapSchedule(7, "replace a control host");
    List<String> names = Stream.generate(schedule::next).limit(FAULTS).map(Fault::name).toList();
    assertThat(names).hasSize(FAULTS);
    assertThat(names.stream().noneMatch(name -> name.contains(" + "))).isTrue();
  }

  @Test
  void unknownFaultIsRejected() {
    OverlapSchedule schedule = new OverlapSchedule(7, "no such fault");
    AlderyardException rejection = assertThrows(AlderyardException.class, schedule::next);
    assertThat(rejection.code()).isEqualTo(ErrorCode.SETTINGS_INVALID);
  }
}
