package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.proxy.admission.AdmissionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdmissionLoadModelTest {
  private static final int SECONDS = 20;

  private static AdmissionLoadModel.Result run(
      AdmissionMode mode, long seed, double load, boolean burst) {
    return new AdmissionLoadModel(mode, seed, 1).run(load, burst, SECONDS);
  }

  /** Load: twice the capacity for good. Callers get at least what they get at the capacity. */
  @ParameterizedTest
  @CsvSource({"1, false", "2, false", "3, true"})
  void goodputAtTwiceCapacityIsKept(long seed, boolean burst) {
    double atCapacity = run(AdmissionMode.DEADLINE, seed, 1, burst).value;

    assertThat(run(AdmissionMode.DEADLINE, seed, 2, burst).value).isAtLeast(0.95 * atCapacity);
  }

  /** Load: twice the capacity, where long queues make the answers of mode none late. */
  @ParameterizedTest
  @CsvSource({"1, false", "2, true"})
  void overloadGivesMoreValueThanWithoutAdmission(long seed, boolean burst) {
    double none = run(AdmissionMode.NONE, seed, 2, burst).value;

    assertThat(run(AdmissionMode.DEADLINE, seed, 2, burst).value).isAtLeast(1.4 * none);
  }

  /** Load: half of the capacity and the capacity. Guards against needless refusals. */
  @ParameterizedTest
  @CsvSource({"1, 0.5, false", "2, 0.5, true", "3, 1, false", "4, 1, true"})
  void withoutLastingOverloadNoValueIsLost(long seed, double load, boolean burst) {
    double none = run(AdmissionMode.NONE, seed, load, burst).value;

    assertThat(run(AdmissionMode.DEADLINE, seed, load, burst).value).isAtLeast(0.995 * none);
  }

  /** Guards against refusals that come late, too late to be of use, or beside free slots. */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 1, 2})
  void refusalsAreEarlyAndNeeded(double load) {
    for (boolean burst : new boolean[] {false, true}) {
      AdmissionLoadModel.Result result = run(AdmissionMode.DEADLINE, 5, load, burst);

      assertThat(result.lateRefusals).isEqualTo(0);
      assertThat(result.refusedWithFreeSlot).isEqualTo(0);
      assertThat(result.longestWaitPastUse).isAtMost(0.0);
    }
  }

  /**
   * Load: six hosts share the servers, so that each sees a part of the queue and is refused by full
   * servers.
   */
  @ParameterizedTest
  @CsvSource({"0.5, 0.995", "1, 1.01", "2, 1.35"})
  void hostsThatShareServersGiveMoreValueThanWithoutAdmission(double load, double factor) {
    for (boolean burst : new boolean[] {false, true}) {
      double none =
          new AdmissionLoadModel(AdmissionMode.NONE, 6, 6).run(load, burst, SECONDS).value;

      assertThat(
              new AdmissionLoadModel(AdmissionMode.DEADLINE, 6, 6).run(load, burst, SECONDS).value)
          .isAtLeast(factor * none);
    }
  }
}
