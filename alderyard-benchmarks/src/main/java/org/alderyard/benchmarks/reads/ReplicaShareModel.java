package org.alderyard.benchmarks.reads;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.proxy.freshness.EligibilityRule;
import org.alderyard.proxy.freshness.GroupFreshness;
import org.alderyard.proxy.freshness.Measurement;
import org.alderyard.proxy.freshness.ReadDemand;
import org.alderyard.proxy.routing.Candidate;
import org.alderyard.proxy.routing.ReadRequest;
import org.alderyard.proxy.routing.ServerLoad;
import org.alderyard.proxy.session.ReadRequirement;

/**
 * Simulates a group with two replicas, two proxies, coordinators that write and read, and browsers.
 *
 * <p>Each request goes to a random proxy. Half of the reads are browsing reads with a staleness of
 * at most 3 s, half are session reads of the coordinators. Think times are exponential with a mean
 * of one second for coordinators, so that some reads follow a write immediately.
 */
final class ReplicaShareModel {
  private static final int PROXIES = 2;
  private static final int REPLICAS = 2;
  private static final int CALLERS_OF_EACH_KIND = 100;
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MONITOR_INTERVAL = 20 * MILLI;
  private static final long HOP = 3 * MILLI / 2;
  private static final long SERVICE = 2 * MILLI;
  private static final long BROWSING_STALENESS = 3 * SECOND;
  private static final long DEADLINE = 5 * SECOND;
  private static final long WARM_UP = 10 * SECOND;
  private static final GroupId GROUP = new GroupId("listings-db");

  private final EventQueue queue = new EventQueue();
  private final SplittableRandom random;
  private final ModelGroup group;
  private final ReadPolicy policy;
  private final double readShare;
  private final GroupState state;
  private final List<ServerState> servers = new ArrayList<>();
  private final List<GroupFreshness> freshnessByProxy = new ArrayList<>();
  private final Result result = new Result();

  ReplicaShareModel(long seed, long lagMillis, double readShare, ReadPolicy policy) {
    random = new SplittableRandom(seed);
    group = new ModelGroup(queue, random.split(), lagMillis * MILLI, REPLICAS);
    this.readShare = readShare;
    this.policy = policy;
    servers.add(server("primary"));
    for (int replica = 1; replica <= REPLICAS; replica++) {
      servers.add(server("replica-" + replica));
    }
    state = new GroupState(GROUP, 1, Optional.of(servers.get(0).id()), List.of(), 5, 35);
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      GroupFreshness freshness = new GroupFreshness();
      freshness.onViewChange(state, servers.size());
      freshnessByProxy.add(freshness);
    }
  }

  private static ServerState server(String id) {
    return new ServerState(
        new ServerId(id),
        1,
        GROUP,
        new ZoneName("tx-central-a"),
        new InetSocketAddress("127.0.0.1", 1),
        ServerStatus.ACTIVE);
  }

  Result run(long seconds) {
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      for (int server = 0; server < servers.size(); server++) {
        int[] pair = {proxy, server};
        queue.after(random.nextLong(MONITOR_INTERVAL), () -> measure(pair[0], pair[1]));
      }
    }
    for (int i = 0; i < CALLERS_OF_EACH_KIND; i++) {
      Caller browser = new Caller(false);
      Caller coordinator = new Caller(true);
      queue.after(think(browser), () -> sendNext(browser));
      queue.after(think(coordinator), () -> sendNext(coordinator));
    }
    queue.runUntil(seconds * SECOND);
    return result;
  }

  private long think(Caller caller) {
    return (long) (-Math.log(1 - random.nextDouble()) * SECOND * caller.thinkTimeFactor);
  }

  private void measure(int proxy, int server) {
    long sent = queue.now();
    queue.after(
        HOP,
        () -> {
          long index = server == 0 ? group.primaryIndex() : group.appliedIndex(server - 1);
          queue.after(HOP, () -> onMeasurement(proxy, server, index, sent));
        });
  }

  private void onMeasurement(int proxy, int server, long index, long sent) {
    Position position = new Position(1, index);
    freshnessByProxy
        .get(proxy)
        .observe(
            new Measurement(
                servers.get(server).id(),
                1,
                1,
                server == 0,
                position,
                position,
                sent,
                queue.now()));
    queue.after(MONITOR_INTERVAL, () -> measure(proxy, server));
  }

  private void sendNext(Caller caller) {
    if (caller.coordinator && random.nextDouble() < caller.writeShare) {
      queue.after(
          HOP,
          () -> {
            caller.observedIndex = Math.max(caller.observedIndex, group.write());
            caller.lastWriteNanos = queue.now();
            queue.after(HOP + think(caller), () -> sendNext(caller));
          });
      return;
    }
    read(caller, random.nextInt(PROXIES));
  }

  private void read(Caller caller, int proxy) {
    long started = queue.now();
    GroupFreshness freshness = freshnessByProxy.get(proxy);
    ReadRequirement requirement =
        caller.observedIndex == 0
            ? ReadRequirement.NONE
            : ReadRequirement.atLeast(new Position(1, caller.observedIndex));
    ReadDemand demand =
        caller.coordinator
            ? ReadDemand.session(requirement)
            : ReadDemand.bounded(BROWSING_STALENESS, ReadRequirement.NONE);
    List<Candidate> candidates =
        servers.stream()
            .map(server -> new Candidate(server, ServerLoad.IDLE, freshness.of(server.id())))
            .toList();
    ReadRequest request =
        new ReadRequest(
            state,
            candidates,
            demand,
            freshness.writtenBy(demand.requirement().position()),
            Integer.MAX_VALUE,
            started,
            DEADLINE);
    ReadPolicy.Choice choice = policy.choose(request, started - caller.lastWriteNanos);
    if (choice.waitNanos() > 0) {
      await(caller, proxy, choice.replica(), started, started + choice.waitNanos());
    } else {
      send(caller, choice.replica(), started);
    }
  }

  /**
   * Waits as a proxy does, until a measurement covers the position or the wait budget has elapsed.
   */
  private void await(Caller caller, int proxy, int replica, long started, long untilNanos) {
    Position applied =
        freshnessByProxy.get(proxy).of(servers.get(replica + 1).id()).orElseThrow().applied();
    if (EligibilityRule.covers(applied, new Position(1, caller.observedIndex))) {
      send(caller, replica, started);
    } else if (queue.now() >= untilNanos) {
      send(caller, ReadPolicy.PRIMARY, started);
    } else {
      queue.after(MILLI, () -> await(caller, proxy, replica, started, untilNanos));
    }
  }

  private void send(Caller caller, int replica, long started) {
    queue.after(
        HOP + SERVICE,
        () -> {
          boolean primary = replica == ReadPolicy.PRIMARY;
          long readIndex = primary ? group.primaryIndex() : group.appliedIndex(replica);
          long age = group.stalenessNanos(readIndex);
          boolean stale =
              caller.coordinator ? readIndex < caller.observedIndex : age > BROWSING_STALENESS;
          if (stale && policy.checksResponses() && !primary) {
            send(caller, ReadPolicy.PRIMARY, started);
            return;
          }
          queue.after(HOP, () -> onResponse(caller, primary, readIndex, stale, started));
        });
  }

  private void onResponse(
      Caller caller, boolean primary, long readIndex, boolean stale, long started) {
    if (caller.coordinator) {
      caller.observedIndex = Math.max(caller.observedIndex, readIndex);
    }
    if (queue.now() > WARM_UP) {
      result.add(caller.coordinator, primary, stale, queue.now() - started);
    }
    queue.after(think(caller), () -> sendNext(caller));
  }

  private final class Caller {
    final boolean coordinator;
    final double writeShare;
    final double thinkTimeFactor;
    long observedIndex;
    long lastWriteNanos = -DEADLINE * 10;

    /** Coordinators send all writes and half of the reads; browsers send the other half. */
    Caller(boolean coordinator) {
      this.coordinator = coordinator;
      double writes = 1 - readShare;
      double sessionReads = readShare / 2;
      writeShare = coordinator ? writes / (writes + sessionReads) : 0;
      thinkTimeFactor = coordinator ? 1 : (writes + sessionReads) / sessionReads;
    }
  }

  /** Results of a simulation run without its warm-up. */
  static final class Result {
    private static final int DIGITS = 3;
    final long[] reads = new long[2];
    final long[] onReplicas = new long[2];
    long violations;
    final Histogram sessionNanos = new Histogram(DIGITS);

    void add(boolean session, boolean primary, boolean stale, long nanos) {
      int kind = session ? 1 : 0;
      reads[kind]++;
      onReplicas[kind] += primary ? 0 : 1;
      violations += stale ? 1 : 0;
      if (session) {
        sessionNanos.recordValue(nanos);
      }
    }

    double browsingShare() {
      return 100.0 * onReplicas[0] / reads[0];
    }

    double sessionShare() {
      return 100.0 * onReplicas[1] / reads[1];
    }

    double allShare() {
      return 100.0 * (onReplicas[0] + onReplicas[1]) / (reads[0] + reads[1]);
    }
  }
}
