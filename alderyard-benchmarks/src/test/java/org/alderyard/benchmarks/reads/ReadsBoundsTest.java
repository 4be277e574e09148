package org.alderyard.benchmarks.reads;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.SplittableRandom;
import org.alderyard.common.id.ZoneName;
import org.alderyard.proxy.limit.LeaseShareLimit;
import org.alderyard.proxy.routing.ReadRouter;
import org.alderyard.proxy.routing.ServerChooser;
import org.junit.jupiter.api.Test;

/** Checks the bounds of {@link ReadsBenchmark} on shorter runs of the same simulations. */
class ReadsBoundsTest {
  private static final long SEED = 3;
  private static final long WAIT_BUDGET_NANOS = 300_000_000;

  private static ReplicaShareModel.Result share(long lagMillis, double readShare) {
    ReadRouter router =
        new ReadRouter(
            new ServerChooser(new ZoneName("a"), 1.5, new SplittableRandom(SEED)),
            WAIT_BUDGET_NANOS);
    return new ReplicaShareModel(SEED, lagMillis, readShare, ReadPolicy.router(router)).run(40);
  }

  @Test
  void replicasServeReadsAtModerateLag() {
    ReplicaShareModel.Result result = share(200, 0.9);
    assertThat(result.violations).isEqualTo(0);
    assertThat(result.browsingShare()).isAtLeast(99.0);
    assertThat(result.sessionShare()).isAtLeast(90.0);
  }

  /**
   * Replicas with 5 s of lag must not serve reads that accept 3 s; only the replica share drops.
   */
  @Test
  void replicasBeyondTheStalenessBoundServeNoStaleReads() {
    ReplicaShareModel.Result result = share(5_000, 0.5);
    assertThat(result.violations).isEqualTo(0);
    assertThat(result.browsingShare()).isLessThan(10.0);
  }

  @Test
  void naivePolicyViolatesTheStalenessBound() {
    ReadPolicy naive = ReadPolicy.naive(2_000_000_000L, 2, new SplittableRandom(SEED));
    assertThat(new ReplicaShareModel(SEED, 5_000, 0.9, naive).run(40).violations).isGreaterThan(0);
  }

  @Test
  void goodputIsKeptAtTenTimesTheLoad() {
    OverloadModel.Result once = overload(1);
    OverloadModel.Result tenfold = overload(10);
    assertThat(tenfold.goodput()).isAtLeast(0.9 * once.goodput());
    assertThat(tenfold.goodput()).isAtLeast(0.9 * OverloadModel.CAPACITY);
    assertThat(tenfold.lateShare()).isLessThan(1.0);
  }

  private static OverloadModel.Result overload(double load) {
    return new OverloadModel(
            SEED, Optional.of(slots -> new LeaseShareLimit(slots, () -> 2, () -> 35)))
        .run(load, 20);
  }
}
