package org.alderyard.control.failover;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.control.failover.FailoverModel.Durations;
import org.alderyard.control.failover.FailoverModel.Group;
import org.junit.jupiter.api.Test;

/**
 * Simulates many concurrent failovers, and faults during a failover, with seeded random numbers.
 */
class FailoverModelTest {
  /**
   * 99th percentiles of the kill run of FailoverGapBenchmark, rounded up: log 33 ms, fence 337 ms,
   * promote 132 ms.
   */
  private static final Durations MEASURED_P99 = new Durations(35, 340, 135);

  /**
   * A zone with the control leader fails: 1,000 groups lose their primary in the same second.
   * Writes of all groups resume within 7 s.
   */
  @Test
  void thousandGroupsRecoverFromZoneAndLeaderFailureWithinSevenSeconds() {
    FailoverModel model = new FailoverModel(1_000, MEASURED_P99, 20_261_202);
    java.util.SplittableRandom random = new java.util.SplittableRandom(7);
    for (Group group : model.groups.values()) {
      group.down[0] = true;
      // Watchers reach a majority between 0.65 and 1.3 s after the failure.
      group.suspectedAtMillis = 650 + random.nextInt(650);
    }
    model.failLeader(0, 1_000);
    model.runUntil(7_000);
    long lastPublishedMillis =
        model.groups.values().stream().mapToLong(group -> group.publishedAtMillis).max().orElse(0);
    System.out.println(
        "measure zone-loss groups=1000 last_published_millis="
            + lastPublishedMillis
            + " most_concurrent="
            + model.peakConcurrent);
    assertThat(model.groups.values().stream().allMatch(Group::hasWorkingPrimary)).isTrue();
    assertThat(model.peakConcurrent).isAtMost(DirectorOptions.DEFAULT.maxConcurrentFailovers());
  }

  /**
   * The control leader fails during many failovers: steps in progress are committed or lost at
   * random. Every group still gets exactly one primary.
   */
  @Test
  void everyGroupRecoversFromLeaderFailureDuringFailovers() {
    for (int seed = 0; seed < 20; seed++) {
      FailoverModel model = new FailoverModel(200, new Durations(10, 15, 15), seed);
      for (Group group : model.groups.values()) {
        group.down[0] = true;
        group.suspectedAtMillis = 10;
      }
      model.failLeader(60 + 5 * seed, 1_000);
      model.runUntil(5_000);
      assertThat(model.groups.values().stream().allMatch(Group::hasWorkingPrimary)).isTrue();
      for (Group group : model.groups.values()) {
        assertThat(group.grantCount).isAtMost(2);
      }
    }
  }

  /**
   * A network partition heals during a promotion: the old primary is fenced too, or receives a
   * follow request, and never resumes its term.
   */
  @Test
  void returningOldPrimaryBecomesReplica() {
    for (int healMillis = 1; healMillis < 120; healMillis++) {
      FailoverModel model = new FailoverModel(1, new Durations(10, 15, 15), healMillis);
      Group group = model.groups.values().iterator().next();
      group.down[0] = true;
      group.servers[0].append(1);
      group.suspectedAtMillis = 10;
      model.schedule(healMillis, () -> group.down[0] = false);
      model.runUntil(2_000);
      assertThat(group.hasWorkingPrimary()).isTrue();
      int primary = ModelState.serverIndex(group.record.previousPrimary().orElseThrow());
      for (int server = 0; server < 3; server++) {
        boolean follows = group.servers[server].followerOf == group.record.term();
        assertThat(follows).isEqualTo(server != primary);
      }
    }
  }

  /** The candidate fails right after it was chosen: the group promotes the third server. */
  @Test
  void failedCandidateIsReplacedInNextTerm() {
    FailoverModel model = new FailoverModel(1, new Durations(10, 15, 15), 1);
    Group group = model.groups.values().iterator().next();
    group.suspectedAtMillis = 10;
    model.schedule(
        50,
        () -> {
          int chosen = ModelState.serverIndex(group.record.candidate().orElseThrow().server());
          group.down[chosen] = true;
        });
    model.runUntil(5_000);
    assertThat(group.hasWorkingPrimary()).isTrue();
    assertThat(group.record.term()).isEqualTo(3);
  }

  /**
   * Watchers suspect each new primary immediately, for five minutes. Each failover stops writes, so
   * failovers must become rare: without a backoff there would be thousands.
   */
  @Test
  void flappingIsLimited() {
    FailoverModel model = new FailoverModel(1, new Durations(10, 15, 15), 1);
    Group group = model.groups.values().iterator().next();
    for (long atMillis = 10; atMillis < 300_000; atMillis += 10) {
      model.schedule(atMillis, () -> group.suspectedAtMillis = model.nowMillis);
    }
    model.runUntil(300_000);
    System.out.println("measure flapping grants=" + group.grantCount + " in 300 s");
    assertThat(group.grantCount).isAtMost(40);
    assertThat(group.grantCount).isAtLeast(8);
  }

  /** Two of three servers are down; the group resumes once one of them is back. */
  @Test
  void groupWithoutMajorityWaitsAndResumes() {
    FailoverModel model = new FailoverModel(1, new Durations(10, 15, 15), 1);
    Group group = model.groups.values().iterator().next();
    group.down[0] = true;
    group.down[1] = true;
    group.suspectedAtMillis = 10;
    model.runUntil(5_000);
    assertThat(group.record.phase()).isEqualTo(FailoverPhase.GRANTED);
    group.down[1] = false;
    model.runUntil(8_000);
    assertThat(group.hasWorkingPrimary()).isTrue();
  }
}
