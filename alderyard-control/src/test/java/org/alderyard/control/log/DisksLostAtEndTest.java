package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs random schedules in which hosts are replaced, wiped, killed, frozen and split. They end
 * right after a commit with the loss of as many disks as the settings tolerate, while all other
 * hosts lose power. System properties choose other seeds.
 */
class DisksLostAtEndTest {
  private static final int SEEDS = Integer.getInteger("disks-lost.seeds", 10);
  private static final long FIRST_SEED = Long.getLong("disks-lost.first-seed", 1);
  private static final long REMOVAL_MILLIS = 2_000;
  private static final int REPLACEMENT_SEEDS = 22;

  /** Guards against confirmed entries that are on too few disks, and a log that ends for good. */
  @ParameterizedTest
  @CsvSource({"6, 2", "5, 2", "4, 1", "3, 1"})
  void confirmedEntriesOutliveDisksLostAsOthersLosePower(int hosts, int tolerated) {
    runSchedules(SEEDS, hosts, tolerated, new LossSchedule.Limits(REMOVAL_MILLIS, false, true));
  }

  /** Guards against successors that take the votes of hosts which are only cut off for a while. */
  @ParameterizedTest
  @CsvSource({"6, 2", "5, 2"})
  void confirmedEntriesOutliveDisksLostAfterSplits(int hosts, int tolerated) {
    runSchedules(
        REPLACEMENT_SEEDS, hosts, tolerated, new LossSchedule.Limits(REMOVAL_MILLIS, true, true));
  }

  /**
   * Guards against a log that ends for good when a host is lost before a replaced one is removed.
   */
  @ParameterizedTest
  @CsvSource("3, 1")
  void logOutlivesHostThatIsGoneRightAfterReplacedOne(int hosts, int tolerated) {
    runSchedules(REPLACEMENT_SEEDS, hosts, tolerated, new LossSchedule.Limits(0, false, false));
  }

  private static void runSchedules(
      int seeds, int hosts, int tolerated, LossSchedule.Limits limits) {
    long confirmed = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
      LossSchedule schedule = new LossSchedule(seed * 100 + hosts, hosts, tolerated, limits);
      try {
        schedule.run();
      } catch (AssertionError | RuntimeException failure) {
        throw new AssertionError(
            "seed " + seed + " of " + hosts + " hosts: " + schedule.history, failure);
      }
      confirmed += schedule.confirmed.size();
    }
    assertThat(confirmed).isAtLeast(seeds * 10L);
  }
}
