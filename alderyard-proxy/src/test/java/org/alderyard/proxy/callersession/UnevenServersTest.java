package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;
import static org.alderyard.proxy.callersession.FleetModel.MILLI;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.alderyard.proxy.serverhealth.HealthOptions;
import org.alderyard.proxy.serverhealth.PaceMode;
import org.alderyard.proxy.serverhealth.ServerKnowledge;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Load on a group with one uneven server, from a fleet of hosts, in a model without network. */
class UnevenServersTest {
  private static final Logger log = LoggerFactory.getLogger(UnevenServersTest.class);

  private static final long SECOND = 1_000 * MILLI;

  /** Two thirds of a server's slots are free on average. */
  private static final double STATEMENTS_PER_SECOND = 200;

  /** When the server starts or its fault begins. */
  private static final long START = 4 * SECOND;

  private static final int SEEDS = 10;

  private static final HealthOptions DEFAULT = HealthOptions.DEFAULT;
  private static final HealthOptions LOCAL_PACE =
      new HealthOptions(ServerKnowledge.LOCAL, PaceMode.ADAPTIVE);
  private static final HealthOptions SHARED =
      new HealthOptions(ServerKnowledge.SHARED, PaceMode.NONE);
  private static final HealthOptions SHARED_PACE =
      new HealthOptions(ServerKnowledge.SHARED, PaceMode.ADAPTIVE);

  /**
   * A server's first seconds.
   *
   * @param fullMillis until it answers as much as its peers; -1 if it never does within 9 s
   * @param sent statements that were sent to it until then, or within the 9 s
   * @param late its answers that took four usual service times or more
   */
  private record Start(long fullMillis, long sent, long refused, int late) {}

  /** The sums of several runs. */
  private record Starts(List<Start> all) {
    long refused() {
      return all.stream().mapToLong(Start::refused).sum();
    }

    long sent() {
      return all.stream().mapToLong(Start::sent).sum();
    }

    void log(String name, int hosts, long coldMillis) {
      log.info(
          "start hosts={} cold-millis={} pace={} sent={} refused={} late={} full-millis={}",
          hosts,
          coldMillis,
          name,
          sent(),
          refused(),
          all.stream().mapToInt(Start::late).sum(),
          all.stream().map(Start::fullMillis).sorted().toList());
    }
  }

  private static Starts starts(LongFunction<Start> run) {
    return new Starts(LongStream.rangeClosed(1, SEEDS).mapToObj(run).toList());
  }

  /** Starts a server that is five times slower at first, until the given time has passed. */
  private static Start start(FleetModel model, long coldMillis) {
    FleetModel.Server server = model.servers.get(0);
    model.runUntil(START);
    server.state = FleetModel.Server.state(0, 2);
    server.late = 0;
    server.slowness =
        now -> 1 + 4 * Math.max(0, 1 - (now - START) / (double) (coldMillis * MILLI + 1));
    model.runUntil(START + 9 * SECOND);
    long fullMillis = fullMillis(model);
    long end = START + (fullMillis < 0 ? 9 * SECOND : fullMillis * MILLI);
    long refused = FleetModel.within(server.refusals, START, end);
    return new Start(
        fullMillis, refused + FleetModel.within(server.answers, START, end), refused, server.late);
  }

  private static long fullMillis(FleetModel model) {
    long window = SECOND / 2;
    for (long from = START; from < START + 8 * SECOND; from += SECOND / 10) {
      long to = from + window;
      long own = FleetModel.within(model.servers.get(0).answers, from, to);
      long peers =
          FleetModel.within(model.servers.get(1).answers, from, to)
              + FleetModel.within(model.servers.get(2).answers, from, to);
      if (own >= 0.8 * peers / 2) {
        return (to - START) / MILLI;
      }
    }
    return -1;
  }

  private static FleetModel model(int hosts, HealthOptions options, long seed) {
    return new FleetModel(hosts, STATEMENTS_PER_SECOND, options, seed);
  }

  /** Answers a cold server's load: with full load it refuses, with a fixed ramp it is idle. */
  @ParameterizedTest
  @ValueSource(ints = {20, 60})
  void serverThatStartsColdReachesFullPaceWithFewRefusals(int hosts) {
    long coldMillis = 2_000;
    Starts full = starts(seed -> start(model(hosts, DEFAULT, seed), coldMillis));
    full.log("full", hosts, coldMillis);
    starts(seed -> start(ramp(hosts, seed), coldMillis)).log("ramp", hosts, coldMillis);
    starts(seed -> start(model(hosts, LOCAL_PACE, seed), coldMillis))
        .log("local", hosts, coldMillis);
    Starts shared = starts(seed -> start(model(hosts, SHARED_PACE, seed), coldMillis));
    shared.log("shared", hosts, coldMillis);

    assertThat(shared.refused()).isAtMost(shared.sent() / 50);
    assertThat(shared.refused()).isLessThan(full.refused() / 10);
    for (Start start : shared.all()) {
      assertThat(start.fullMillis()).isIn(Range.closed(0L, coldMillis + 3_000L));
    }
  }

  /** Answers a server that serves at once: a fixed ramp keeps it idle, full load floods it. */
  @ParameterizedTest
  @ValueSource(ints = {20, 60})
  void serverThatStartsWarmReachesFullPaceSoon(int hosts) {
    starts(seed -> start(model(hosts, DEFAULT, seed), 0)).log("full", hosts, 0);
    starts(seed -> start(ramp(hosts, seed), 0)).log("ramp", hosts, 0);
    starts(seed -> start(model(hosts, LOCAL_PACE, seed), 0)).log("local", hosts, 0);
    Starts shared = starts(seed -> start(model(hosts, SHARED_PACE, seed), 0));
    shared.log("shared", hosts, 0);

    assertThat(shared.refused()).isAtMost(shared.sent() / 50);
    for (Start start : shared.all()) {
      assertThat(start.fullMillis()).isIn(Range.closed(0L, 3_000L));
    }
  }

  private static FleetModel ramp(int hosts, long seed) {
    FleetModel model = model(hosts, DEFAULT, seed);
    model.ramp = now -> now < START ? 1 : (now - START) / (double) (10 * SECOND);
    return model;
  }

  /** Guards against a server that stays bounded when the control leader is lost. */
  @Test
  void withoutReportsOwnAnswersDetermineThePace() {
    Starts starts =
        starts(
            seed -> {
              FleetModel model = model(20, SHARED_PACE, seed);
              model.at(START - 4 * SECOND + 1, () -> model.leaderLost = true);
              return start(model, 0);
            });
    starts.log("leader-lost", 20, 0);
    for (Start start : starts.all()) {
      assertThat(start.fullMillis()).isIn(Range.closed(0L, 3_000L));
    }
  }

  /** Guards against each host paying for a failing server again: 45 % fail, the probe succeeds. */
  @ParameterizedTest
  @ValueSource(ints = {20, 60})
  void allHostsAvoidFailingServerAfterFewFailures(int hosts) {
    long localFailures = 0;
    long sharedFailures = 0;
    List<Long> avoidedMillis = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      localFailures += failures(failing(hosts, DEFAULT, seed));
      FleetModel shared = failing(hosts, SHARED, seed);
      avoidedMillis.add(millisUntilAllEject(shared, hosts));
      sharedFailures += failures(shared);
      assertThat(shared.maxEjected()).isAtMost(1);
      // Two seconds after the fault at most trials are left, and the server is used again.
      shared.runUntil(START + 16 * SECOND);
      assertThat(FleetModel.within(shared.servers.get(0).answers, shared.now - SECOND, shared.now))
          .isAtLeast((long) STATEMENTS_PER_SECOND / 9);
    }
    log.info(
        "failing hosts={} local-failures={} shared-failures={} avoided-millis={}",
        hosts,
        localFailures,
        sharedFailures,
        avoidedMillis);

    assertThat(sharedFailures).isLessThan(localFailures * 3 / 4);
    avoidedMillis.forEach(millis -> assertThat(millis).isIn(Range.closed(0L, 2_500L)));
  }

  private static FleetModel failing(int hosts, HealthOptions options, long seed) {
    FleetModel model = model(hosts, options, seed);
    model.servers.get(0).failing = now -> now >= START && now < START + 6 * SECOND ? 0.45 : 0;
    model.runUntil(START);
    return model;
  }

  private static long millisUntilAllEject(FleetModel model, int hosts) {
    while (model.now < START + 6 * SECOND) {
      model.runUntil(model.now + SECOND / 20);
      if (model.ejectingHosts() == hosts) {
        return (model.now - START) / MILLI;
      }
    }
    return -1;
  }

  private static long failures(FleetModel model) {
    model.runUntil(START + 8 * SECOND);
    return FleetModel.within(model.servers.get(0).failures, START, model.now);
  }

  /** Guards against a flapping server that gets the full load at the begin of each good span. */
  @Test
  void flappingServerFailsFewerStatements() {
    long localFailures = 0;
    long sharedFailures = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      localFailures += failures(flapping(DEFAULT, seed));
      sharedFailures += failures(flapping(SHARED_PACE, seed));
    }
    log.info("flapping local-failures={} shared-failures={}", localFailures, sharedFailures);
    assertThat(sharedFailures).isLessThan(localFailures * 2 / 3);
  }

  private static FleetModel flapping(HealthOptions options, long seed) {
    FleetModel model = model(60, options, seed);
    model.servers.get(0).failing =
        now -> now >= START && (now - START) / (700 * MILLI) % 2 == 0 ? 1 : 0;
    return model;
  }
}
