package org.alderyard.proxy.freshness;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.TermStart;
import org.alderyard.proxy.freshness.Eligibility.Verdict;
import org.alderyard.proxy.session.ReadRequirement;
import org.junit.jupiter.api.Test;

/** Tests the age bounds of replicas and the check of replicas against reads. */
class FreshnessTest {
  private static final GroupId GROUP = new GroupId("g1");
  private static final ServerId S1 = new ServerId("s1");
  private static final ServerId S2 = new ServerId("s2");
  private static final ServerId S3 = new ServerId("s3");
  private static final List<ServerId> ALL = List.of(S1, S2, S3);

  private final GroupFreshness freshness = new GroupFreshness();

  private static GroupState group(long term, ServerId primary, TermStart... history) {
    return new GroupState(GROUP, term, Optional.of(primary), List.of(history), 5, 35);
  }

  private static ServerState server(ServerId id, long incarnation) {
    return new ServerState(
        id,
        incarnation,
        GROUP,
        new ZoneName("tx-central-a"),
        new InetSocketAddress("127.0.0.1", 1),
        ServerStatus.ACTIVE);
  }

  private void observe(
      ServerId server, long term, boolean primary, Position position, long sentNanos) {
    freshness.observe(
        new Measurement(server, 1, term, primary, position, position, sentNanos, sentNanos + 1));
  }

  private Eligibility decide(ReadDemand demand, GroupState group, ServerId id, long nowNanos) {
    return EligibilityRule.decide(
        demand,
        group,
        server(id, 1),
        freshness.of(id),
        freshness.writtenBy(demand.requirement().position()),
        nowNanos);
  }

  /**
   * The primary writes at random times, the replicas follow with a random lag, and the proxy
   * measures all servers at random times with random response times. A replica must hold every
   * entry that is older than its age bound.
   */
  @Property(seed = "20261202", tries = 300)
  void ageBoundIsNeverTooSmall(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
      @ForAll @IntRange(min = 0, max = 300) int maxLag) {
    SplittableRandom random = new SplittableRandom(seed);
    GroupFreshness groupFreshness = new GroupFreshness();
    groupFreshness.onViewChange(group(1, S1), 3);
    int steps = 800;
    long[] primaryIndex = new long[steps + 50];
    long[][] replicaIndex = new long[2][steps + 50];
    for (int t = 1; t < primaryIndex.length; t++) {
      primaryIndex[t] = primaryIndex[t - 1] + (random.nextInt(4) == 0 ? 1 : 0);
      for (long[] applied : replicaIndex) {
        long replicated = primaryIndex[Math.max(0, t - random.nextInt(maxLag + 1))];
        applied[t] = Math.max(applied[t - 1], replicated);
      }
    }
    int now = 0;
    for (int t = 0; t < steps; t++) {
      int measuredAt = t + random.nextInt(20);
      int receivedAt = measuredAt + random.nextInt(20);
      int serverIndex = random.nextInt(3);
      long index =
          serverIndex == 0 ? primaryIndex[measuredAt] : replicaIndex[serverIndex - 1][measuredAt];
      groupFreshness.observe(
          new Measurement(
              ALL.get(serverIndex),
              1,
              1,
              serverIndex == 0,
              new Position(1, index),
              new Position(1, index),
              t,
              receivedAt));
      now = Math.max(now, receivedAt);
      for (int replica = 0; replica < 2; replica++) {
        OptionalLong freshAsOf =
            groupFreshness
                .of(ALL.get(replica + 1))
                .map(ServerFreshness::freshAsOfNanos)
                .orElse(OptionalLong.empty());
        if (freshAsOf.isPresent()) {
          assertThat(replicaIndex[replica][now])
              .isAtLeast(primaryIndex[(int) freshAsOf.getAsLong()]);
        }
      }
    }
  }

  /**
   * A partition isolates this proxy and the old primary s1. The other side promotes s2 at time 100
   * and writes to it, while s1 is idle and keeps answering. Without the confirmation by a majority,
   * data from before the promotion would count as fresh indefinitely.
   */
  @Test
  void partitionedPrimaryDoesNotKeepDataFresh() {
    freshness.onViewChange(group(1, S1), 3);
    Position idle = new Position(1, 7);
    for (ServerId id : ALL) {
      observe(id, 1, id.equals(S1), idle, 90);
    }
    for (long t = 110; t <= 1000; t += 10) {
      observe(S1, 1, true, idle, t);
    }
    assertThat(freshness.freshAsOf(idle)).isEqualTo(OptionalLong.of(90));
    ReadDemand bounded = ReadDemand.bounded(200, ReadRequirement.NONE);
    assertThat(decide(bounded, group(1, S1), S3, 280).verdict()).isEqualTo(Verdict.ELIGIBLE);
    assertThat(decide(bounded, group(1, S1), S3, 1000).verdict()).isEqualTo(Verdict.BEHIND);
  }

  /**
   * A partition ends after the other side has promoted s2: the view names s2 as the primary of term
   * 2, and a majority confirms term 2 immediately. Measurements of s1 from between the promotion
   * and the new view must stay unused.
   */
  @Test
  void measurementsOfReplacedPrimaryAreDroppedWithItsTerm() {
    freshness.onViewChange(group(1, S1), 3);
    Position idle = new Position(1, 7);
    for (ServerId id : ALL) {
      observe(id, 1, id.equals(S1), idle, 90);
    }
    observe(S1, 1, true, idle, 500);
    freshness.onViewChange(group(2, S2, new TermStart(2, 7)), 3);
    observe(S2, 2, true, new Position(2, 8), 510);
    observe(S1, 2, false, idle, 510);
    observe(S3, 2, false, idle, 510);
    assertThat(freshness.of(S3).orElseThrow().freshAsOfNanos()).isEqualTo(OptionalLong.of(90));
  }

  /**
   * A replica restarts after a restore from an old backup. Its position before the restart is no
   * longer valid, so it must not answer reads until it is measured again.
   */
  @Test
  void restartedReplicaIsUnknown() {
    GroupState group = group(1, S1);
    freshness.onViewChange(group, 3);
    observe(S1, 1, true, new Position(1, 5), 10);
    observe(S2, 1, false, new Position(1, 5), 10);
    ReadDemand demand = ReadDemand.session(ReadRequirement.atLeast(new Position(1, 5)));
    assertThat(decide(demand, group, S2, 20).verdict()).isEqualTo(Verdict.ELIGIBLE);
    Eligibility restarted =
        EligibilityRule.decide(
            demand, group, server(S2, 2), freshness.of(S2), OptionalLong.empty(), 20);
    assertThat(restarted.verdict()).isEqualTo(Verdict.UNKNOWN);
    assertThat(decide(demand, group, S3, 20).verdict()).isEqualTo(Verdict.UNKNOWN);
  }

  /**
   * A replaced primary rejoins as a replica and still reports index 100 of term 1, although term 2
   * began at index 40. Its position appears to be the newest, but its last entries were lost.
   */
  @Test
  void returningPrimaryWithLostTailIsDiverged() {
    GroupState group = group(2, S2, new TermStart(2, 40));
    freshness.onViewChange(group, 3);
    observe(S1, 1, false, new Position(1, 100), 10);
    ReadDemand demand = ReadDemand.session(ReadRequirement.atLeast(new Position(1, 30)));
    assertThat(decide(demand, group, S1, 20).verdict()).isEqualTo(Verdict.DIVERGED);
    assertThat(decide(ReadDemand.ANY, group, S1, 20).verdict()).isEqualTo(Verdict.DIVERGED);
  }

  /**
   * A replica stops applying entries after a short lag was measured. Unless an overdue entry raises
   * the estimated delay, every read of a newer entry waits for this replica until its timeout.
   */
  @Test
  void estimatedDelayGrowsForStoppedReplica() {
    GroupState group = group(1, S1);
    freshness.onViewChange(group, 3);
    observe(S1, 1, true, new Position(1, 5), 0);
    observe(S2, 1, false, new Position(1, 5), 20);
    observe(S1, 1, true, new Position(1, 6), 99);
    ReadDemand demand = ReadDemand.session(ReadRequirement.atLeast(new Position(1, 6)));
    assertThat(decide(demand, group, S2, 110).catchUpNanos()).isEqualTo(OptionalLong.of(11));
    observe(S2, 1, false, new Position(1, 5), 5_000);
    assertThat(decide(demand, group, S2, 5_100).catchUpNanos().getAsLong()).isAtLeast(4_000L);
  }

  /**
   * A proxy that has just started measures a replica before the primary, on an idle group. Without
   * an estimate of the replica's lag, the first read after a write goes to the primary.
   */
  @Test
  void lagIsEstimatedForFirstReadAfterStart() {
    GroupState group = group(1, S1);
    freshness.onViewChange(group, 3);
    observe(S2, 1, false, new Position(1, 5), 0);
    observe(S1, 1, true, new Position(1, 5), 2);
    ReadDemand demand = ReadDemand.session(ReadRequirement.atLeast(new Position(1, 6)));
    assertThat(decide(demand, group, S2, 30).catchUpNanos().isPresent()).isTrue();
  }

  @Test
  void historyIsBoundedAndNeverReturnsLaterTimes() {
    PositionHistory history = new PositionHistory();
    for (int i = 1; i <= 100_000; i++) {
      history.record(new Position(1, i), i * 10L, i * 10L + 5);
    }
    assertThat(history.size()).isAtMost(PositionHistory.CAPACITY);
    for (int i = 1; i <= 100_000; i += 97) {
      OptionalLong latestNanos = history.latestAtOrBefore(new Position(1, i));
      assertThat(latestNanos.orElse(0)).isAtMost(i * 10L);
    }
    assertThat(history.latestAtOrBefore(new Position(1, 99_999)))
        .isEqualTo(OptionalLong.of(999_990));
  }
}
