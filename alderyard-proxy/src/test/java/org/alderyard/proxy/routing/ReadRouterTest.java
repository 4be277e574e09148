package org.alderyard.proxy.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.ManualClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.proxy.freshness.ReadDemand;
import org.alderyard.proxy.freshness.ServerFreshness;
import org.alderyard.proxy.session.ReadRequirement;
import org.junit.jupiter.api.Test;

/** Tests the routing of reads, load balancing and ejection. */
class ReadRouterTest {
  private static final GroupId GROUP = new GroupId("g1");
  private static final ZoneName OWN_ZONE = new ZoneName("quimper");
  private static final ZoneName OTHER_ZONE = new ZoneName("vannes");
  private static final long NOW = 1_000_000_000L;
  private static final long MILLI = 1_000_000L;
  private static final Position WRITTEN = new Position(1, 50);
  private static final ReadDemand OWN_WRITE = ReadDemand.session(ReadRequirement.atLeast(WRITTEN));

  private final ServerState primary = server("s1", OWN_ZONE, ServerStatus.ACTIVE);
  private final ServerState near = server("s2", OWN_ZONE, ServerStatus.ACTIVE);
  private final ServerState far = server("s3", OTHER_ZONE, ServerStatus.ACTIVE);
  private final GroupState group =
      new GroupState(GROUP, 1, Optional.of(primary.id()), List.of(), 2, 40);
  private final ReadRouter router = new ReadRouter(chooser(1), 300 * MILLI);

  private static ServerChooser chooser(long seed) {
    return new ServerChooser(
        OWN_ZONE, ServerChooser.DEFAULT_OTHER_ZONE_FACTOR, new SplittableRandom(seed));
  }

  private static ServerState server(String id, ZoneName zone, ServerStatus status) {
    return new ServerState(
        new ServerId(id), 1, GROUP, zone, new InetSocketAddress("127.0.0.1", 1), status);
  }

  private static Candidate candidate(ServerState server, long index, long lagMillis) {
    ServerFreshness fresh =
        new ServerFreshness(
            server.id(),
            1,
            new Position(1, index),
            OptionalLong.of(NOW - lagMillis * MILLI),
            OptionalLong.of(lagMillis * MILLI));
    return new Candidate(server, ServerLoad.IDLE, Optional.of(fresh));
  }

  private RoutingDecision decide(
      ReadDemand demand, GroupState state, int primaryReadCapacity, Candidate... replicas) {
    List<Candidate> all =
        Stream.concat(Stream.of(candidate(primary, 60, 0)), Stream.of(replicas)).toList();
    return router.decide(
        new ReadRequest(
            state, all, demand, OptionalLong.of(NOW), primaryReadCapacity, NOW, 2_000 * MILLI));
  }

  private static ReadRequirement primaryOnly() {
    return ReadRequirement.PRIMARY;
  }

  @Test
  void freshReplicaIsPreferred() {
    RoutingDecision decision =
        decide(OWN_WRITE, group, 1, candidate(near, 49, 200), candidate(far, 50, 10));
    assertThat(decision.reason()).isEqualTo(RoutingReason.REPLICA_FRESH);
    assertThat(decision.server()).hasValue(far);
    assertThat(decision.eligibleCount()).isEqualTo(1);
  }

  @Test
  void readWaitsForReplicaThatCatchesUpWithinBudget() {
    RoutingDecision decision =
        decide(OWN_WRITE, group, 1, candidate(near, 49, 200), candidate(far, 40, 900));
    assertThat(decision.reason()).isEqualTo(RoutingReason.REPLICA_WAIT);
    assertThat(decision.server()).hasValue(near);
    assertThat(decision.waitFor()).hasValue(WRITTEN);
  }

  @Test
  void primaryServesReadsThatNoReplicaCan() {
    assertThat(decide(OWN_WRITE, group, 1, candidate(near, 9, 5_000)).reason())
        .isEqualTo(RoutingReason.PRIMARY_REPLICAS_BEHIND);
    assertThat(decide(OWN_WRITE, group, 1).reason())
        .isEqualTo(RoutingReason.PRIMARY_REPLICAS_UNKNOWN);
    assertThat(decide(ReadDemand.PRIMARY, group, 1, candidate(near, 60, 0)).reason())
        .isEqualTo(RoutingReason.PRIMARY_DEMANDED);
    assertThat(decide(ReadDemand.session(primaryOnly()), group, 1, candidate(near, 60, 0)).reason())
        .isEqualTo(RoutingReason.PRIMARY_SESSION_FOLDED);
    assertThat(
            decide(
                    ReadDemand.bounded(100 * MILLI, ReadRequirement.NONE),
                    group,
                    1,
                    candidate(near, 60, 200))
                .reason())
        .isEqualTo(RoutingReason.PRIMARY_REPLICAS_BEHIND);
  }

  /**
   * A bulk load leaves every replica 5 s behind, so all session reads would go to the primary and
   * leave no capacity for writes. Reads beyond the capacity must be rejected immediately with
   * outcome {@code NOT_RUN} and the time until a replica catches up.
   */
  @Test
  void primaryIsProtectedWhenEveryReplicaIsFarBehind() {
    RoutingDecision decision =
        decide(OWN_WRITE, group, 0, candidate(near, 9, 5_000), candidate(far, 9, 3_000));
    assertThat(decision.reason()).isEqualTo(RoutingReason.REFUSED_PRIMARY_BUSY);
    AlderyardException error = assertThrows(AlderyardException.class, decision::serverOrThrow);
    assertThat(error.code()).isEqualTo(ErrorCode.OVERLOADED);
    assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(error.retryAfterMillis().getAsLong()).isEqualTo(3_001);
    assertThat(decide(OWN_WRITE, group, 0, candidate(near, 9, 800)).reason())
        .isEqualTo(RoutingReason.REPLICA_WAIT_PRIMARY_BUSY);
  }

  @Test
  void leavingAndExpiredServersReceiveNoReads() {
    ServerState leaving = server("s2", OWN_ZONE, ServerStatus.LEAVING);
    ServerState expired = server("s3", OTHER_ZONE, ServerStatus.EXPIRED);
    assertThat(
            decide(ReadDemand.ANY, group, 1, candidate(leaving, 60, 0), candidate(expired, 60, 0))
                .reason())
        .isEqualTo(RoutingReason.PRIMARY_REPLICAS_UNKNOWN);
    GroupState failover = new GroupState(GROUP, 1, Optional.empty(), List.of(), 2, 40);
    RoutingDecision refused =
        router.decide(
            new ReadRequest(
                failover,
                List.of(candidate(leaving, 60, 0)),
                ReadDemand.ANY,
                OptionalLong.empty(),
                1,
                NOW,
                MILLI));
    assertThat(refused.reason()).isEqualTo(RoutingReason.REFUSED_NO_SERVER);
  }

  @Test
  void replicasServeReadsDuringFailover() {
    GroupState failover = new GroupState(GROUP, 1, Optional.empty(), List.of(), 2, 40);
    assertThat(decide(OWN_WRITE, failover, 0, candidate(near, 55, 100)).reason())
        .isEqualTo(RoutingReason.REPLICA_FRESH);
    RoutingDecision refusedRead =
        router.decide(
            new ReadRequest(
                failover,
                List.of(candidate(near, 9, 5_000)),
                OWN_WRITE,
                OptionalLong.of(NOW),
                1,
                NOW,
                2_000 * MILLI));
    assertThat(refusedRead.reason()).isEqualTo(RoutingReason.REFUSED_NO_PRIMARY);
  }

  /**
   * Eight of twelve proxies are in a zone with one replica, and the other replica is in another
   * zone. A strict zone preference would send two thirds of all reads to the first replica and
   * queue them there while the second one is idle.
   */
  @Test
  void zonePreferenceDoesNotOverloadSmallZone() {
    int proxies = 12;
    int inOwnZone = 8;
    Map<ServerState, Integer> served = new HashMap<>();
    List<ServerChooser> choosers = new ArrayList<>();
    for (int i = 0; i < proxies; i++) {
      ZoneName zone = i < inOwnZone ? OWN_ZONE : OTHER_ZONE;
      choosers.add(new ServerChooser(zone, 1.5, new SplittableRandom(i)));
    }
    int[][] outstanding = new int[proxies][2];
    SplittableRandom random = new SplittableRandom(7);
    for (int step = 0; step < 40_000; step++) {
      int proxy = random.nextInt(proxies);
      Candidate toNear = withLoad(near, outstanding[proxy][0]);
      Candidate toFar = withLoad(far, outstanding[proxy][1]);
      ServerState chosen = choosers.get(proxy).choose(List.of(toNear, toFar)).server();
      outstanding[proxy][chosen == near ? 0 : 1]++;
      served.merge(chosen, 1, Integer::sum);
      int completing = random.nextInt(proxies);
      for (int replica = 0; replica < 2; replica++) {
        outstanding[completing][replica] = Math.max(0, outstanding[completing][replica] - 1);
      }
    }
    double share = served.get(near) / 40_000.0;
    assertThat(share).isGreaterThan(0.5);
    assertThat(share).isLessThan(0.6);
  }

  private static Candidate withLoad(ServerState server, int outstanding) {
    return new Candidate(
        server, new ServerLoad(outstanding, 2, MILLI, 1.0, false), Optional.empty());
  }

  /**
   * A network fault makes every server of the group fail at the same time. Ejecting all of them
   * would extend a short fault to the whole ejection time, so at most half are ejected.
   */
  @Test
  void ejectionIsCappedAndEndsWithSlowStart() {
    ManualClock clock = new ManualClock();
    ServerLoads loads = new ServerLoads(clock);
    TreeSet<ServerId> ejected = new TreeSet<>();
    for (ServerState server : List.of(primary, near, far)) {
      loads.of(server, 2);
    }
    for (int i = 0; i < 50; i++) {
      for (ServerState server : List.of(near, far, primary)) {
        loads.begin(server);
        if (loads.recordFailure(server)) {
          ejected.add(server.id());
        }
      }
    }
    assertThat(ejected).containsExactly(near.id());
    assertThat(loads.of(near, 2).ejected()).isTrue();
    clock.advance(Duration.ofSeconds(3));
    assertThat(loads.of(near, 2).ejected()).isFalse();
    assertThat(loads.of(near, 2).weight()).isLessThan(0.5);
    clock.advance(Duration.ofSeconds(10));
    assertThat(loads.of(near, 2).weight()).isEqualTo(1.0);
    assertThat(loads.of(near, 2).outstanding()).isEqualTo(0);
  }

  /**
   * A server restarts while statements run on it. Their completions must not count for the new
   * incarnation: its outstanding count would become negative and attract all reads.
   */
  @Test
  void statementsOfEarlierIncarnationAreNotCounted() {
    ServerLoads loads = new ServerLoads(new ManualClock());
    loads.begin(near);
    ServerState restarted =
        new ServerState(near.id(), 2, GROUP, near.zone(), near.address(), ServerStatus.ACTIVE);
    loads.begin(restarted);
    loads.recordSuccess(near, MILLI);
    assertThat(loads.of(restarted, 2).outstanding()).isEqualTo(1);
  }
}
