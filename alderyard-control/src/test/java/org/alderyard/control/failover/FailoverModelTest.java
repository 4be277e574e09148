package org.alderyard.control.failover;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.control.failover.FailoverModel.Costs;
import org.alderyard.control.failover.FailoverModel.Group;
import org.junit.jupiter.api.Test;

/** Many failovers, and failures in the middle of one, in model time with seeded chance. */
class FailoverModelTest {
  /** The 99th percentiles of FailoverGapBenchmark's kill run: log 33, fence 337, promote 132 ms. */
  private static final Costs MEASURED = new Costs(35, 340, 135);

  /**
   * A zone goes dark: 1,000 groups lose their primary in the same second, and the control leader
   * was there as well. Writes of all groups go on within 7 s.
   */
  @Test
  void zoneLossOfThousandGroupsWithControlLeaderEndsWithinSevenSeconds() {
    FailoverModel model = new FailoverModel(1_000, MEASURED, 20_261_202);
    java.util.SplittableRandom random = new java.util.SplittableRandom(7);
    for (Group group : model.groups.values()) {
      group.down[0] = true;
      // Watchers agree between 0.65 and 1.3 s after the loss.
      group.suspectedAtMillis = 650 + random.nextInt(650);
    }
    model.loseLeader(0, 1_000);
    model.runUntil(7_000);
    long last = model.groups.values().stream().mapToLong(g -> g.publishedAtMillis).max().orElse(0);
    System.out.println(
        "measure zone-loss groups=1000 last_published_millis="
            + last
            + " most_concurrent="
            + model.mostConcurrent);
    assertThat(model.groups.values().stream().allMatch(Group::working)).isTrue();
    assertThat(model.mostConcurrent).isAtMost(DirectorOptions.DEFAULT.maxConcurrent());
  }

  /**
   * The zone is lost while failovers run, and the control leader dies in the middle of them: steps
   * that were under way are committed or lost at random. Every group still gets one primary.
   */
  @Test
  void leaderLostInMiddleOfManyFailoversLosesNoGroup() {
    for (int seed = 0; seed < 20; seed++) {
      FailoverModel model = new FailoverModel(200, new Costs(10, 15, 15), seed);
      for (Group group : model.groups.values()) {
        group.down[0] = true;
        group.suspectedAtMillis = 10;
      }
      model.loseLeader(60 + 5 * seed, 1_000);
      model.runUntil(5_000);
      assertThat(model.groups.values().stream().allMatch(Group::working)).isTrue();
      for (Group group : model.groups.values()) {
        assertThat(group.grants).isAtMost(2);
      }
    }
  }

  /**
   * The partition heals in the middle of a promotion: the old primary is fenced as well, or told to
   * follow, and never takes its term up again.
   */
  @Test
  void oldPrimaryThatReturnsAtAnyMomentEndsAsReplica() {
    for (int heal = 1; heal < 120; heal++) {
      FailoverModel model = new FailoverModel(1, new Costs(10, 15, 15), heal);
      Group group = model.groups.values().iterator().next();
      group.down[0] = true;
      group.servers[0].append(1);
      group.suspectedAtMillis = 10;
      model.at(heal, () -> group.down[0] = false);
      model.runUntil(2_000);
      assertThat(group.working()).isTrue();
      int primary = ModelState.number(group.record.previousPrimary().orElseThrow());
      for (int server = 0; server < 3; server++) {
        boolean follows = group.servers[server].followerOf == group.record.term();
        assertThat(follows).isEqualTo(server != primary);
      }
    }
  }

  /** The candidate dies right after it was chosen: the group takes the third server. */
  @Test
  void candidateThatDiesIsReplacedInNextTerm() {
    FailoverModel model = new FailoverModel(1, new Costs(10, 15, 15), 1);
    Group group = model.groups.values().iterator().next();
    group.suspectedAtMillis = 10;
    model.at(
        50,
        () -> {
          int chosen = ModelState.number(group.record.choice().orElseThrow().server());
          group.down[chosen] = true;
        });
    model.runUntil(5_000);
    assertThat(group.working()).isTrue();
    assertThat(group.record.term()).isEqualTo(3);
  }

  /**
   * Watchers suspect every new primary at once, for five minutes. Each failover stops writes, so
   * they must become rare: without a back-off there would be thousands.
   */
  @Test
  void flappingIsBounded() {
    FailoverModel model = new FailoverModel(1, new Costs(10, 15, 15), 1);
    Group group = model.groups.values().iterator().next();
    for (long at = 10; at < 300_000; at += 10) {
      model.at(at, () -> group.suspectedAtMillis = model.nowMillis);
    }
    model.runUntil(300_000);
    System.out.println("measure flapping grants=" + group.grants + " in 300 s");
    assertThat(group.grants).isAtMost(40);
    assertThat(group.grants).isAtLeast(8);
  }

  /** Two of three servers are gone for a while; the group works again once one returns. */
  @Test
  void groupWithoutMajorityWaitsAndResumes() {
    FailoverModel model = new FailoverModel(1, new Costs(10, 15, 15), 1);
    Group group = model.groups.values().iterator().next();
    group.down[0] = true;
    group.down[1] = true;
    group.suspectedAtMillis = 10;
    model.runUntil(5_000);
    assertThat(group.record.phase()).isEqualTo(FailoverPhase.GRANTED);
    group.down[1] = false;
    model.runUntil(8_000);
    assertThat(group.working()).isTrue();
  }
}
