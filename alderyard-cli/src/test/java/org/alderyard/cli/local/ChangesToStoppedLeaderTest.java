package org.alderyard.cli.local;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.cli.local.ChangeLedger.Acknowledgement;
import org.alderyard.cli.local.ChangeLedger.Requirement;
import org.alderyard.cli.local.SuspendableCluster.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks that each acknowledged change is in force at all hosts, although operators send changes to
 * a leader that stands still while another host takes over.
 *
 * <p>The seeds draw the times, the order and the {@link Variant}; the processes do not repeat a run
 * exactly. The system properties {@code stopped-leader.seeds}, {@code stopped-leader.first-seed}
 * and {@code stopped-leader.variant} play other seeds, or one variant, by hand.
 */
class ChangesToStoppedLeaderTest {
  private static final Logger log = LoggerFactory.getLogger(ChangesToStoppedLeaderTest.class);
  private static final int SEEDS = Integer.getInteger("stopped-leader.seeds", 3);
  private static final int FIRST_SEED = Integer.getInteger("stopped-leader.first-seed", 7);
  private static final String VARIANT = System.getProperty("stopped-leader.variant", "");
  private static final int SHORT_STOPS = 5;
  private static final int OPERATORS = 8;
  private static final int LOGGED_ACKNOWLEDGEMENTS = 8;
  private static final int CONFIRMED = 200;
  private static final int CONFLICT = 409;
  private static final Duration IN_FORCE_EVERYWHERE = Duration.ofSeconds(3);
  private static final Duration OPERATORS_GIVE_UP = Duration.ofSeconds(15);
  private static final Duration RESEND_INTERVAL = Duration.ofMillis(10);
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(20);
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration FETCH_LIMIT = Duration.ofSeconds(10);

  @TempDir Path folder;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ChangeLedger ledger = new ChangeLedger();
  private final List<String> violations = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger earlyRefusals = new AtomicInteger();
  private final AtomicInteger lateAnswers = new AtomicInteger();
  private final AtomicLong latestRefusalMillis = new AtomicLong();
  private final AtomicLong heartbeats = new AtomicLong();
  private volatile boolean ended;
  private SuspendableCluster cluster;
  private final AtomicInteger nextVersion = new AtomicInteger(1);
  private OperatorChange inForce;

  /** How the leader stands still and how it returns. */
  private enum Variant {
    ONE_LONG_STOP,
    RACE_AT_RETURN,
    LOADED,
    SEVERAL_STOPS,
    SLOW_RETURN,
    SHORT_STOP,
    LOADED_SHORT_STOPS,
    SLOW_HOST
  }

  @BeforeEach
  void start() throws Exception {
    cluster = new SuspendableCluster(folder);
    OperatorChange first = OperatorChange.of(nextVersion.getAndIncrement(), Set.of(), "base", 0);
    assertThat(sendUntilAnswered(0, first).isPresent()).isTrue();
    inForce = first;
    for (int host = 0; host < SuspendableCluster.HOSTS; host++) {
      int target = host;
      threads.execute(() -> sendHeartbeats(target));
      threads.execute(() -> probe(target));
    }
  }

  @AfterEach
  void stop() throws Exception {
    ended = true;
    cluster.close();
    threads.shutdown();
    threads.awaitTermination(30, TimeUnit.SECONDS);
  }

  /** Commits entries that are no changes of the configuration. */
  private void sendHeartbeats(int host) {
    while (!ended) {
      cluster.heartbeat(host, "s" + host, heartbeat());
      SuspendableCluster.sleep(PROBE_INTERVAL);
    }
  }

  private String heartbeat() {
    long number = heartbeats.incrementAndGet();
    return ("{\"service\":\"g1\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"version\":\"v1\","
            + "\"slots\":2,\"state\":\"ready\",\"cold_remaining_ms\":0,"
            + "\"db_role\":\"replica\",\"seq_no\":%d,\"born\":%d}")
        .formatted(number, number);
  }

  /** Opens sessions all the time: of the newest acknowledged change, and of the newest sent one. */
  private void probe(int host) {
    while (!ended) {
      ledger.newestRequirement().ifPresent(newest -> probe(host, newest));
      cluster.openSession(host, ledger.newestSent().added(), PROBE_TIMEOUT);
      SuspendableCluster.sleep(PROBE_INTERVAL);
    }
  }

  private void probe(int host, Requirement requirement) {
    long sentNanos = System.nanoTime();
    Optional<String> answer =
        cluster.openSession(host, requirement.change().added(), PROBE_TIMEOUT);
    if (!answer.orElse("").startsWith("ERROR NODB")
        || !ledger.isKeptByLaterChanges(requirement.change())) {
      return;
    }
    long sentAfterNanos = sentNanos - requirement.sinceNanos();
    long answeredAfterNanos = System.nanoTime() - requirement.sinceNanos();
    if (sentAfterNanos > IN_FORCE_EVERYWHERE.toNanos()) {
      violations.add(
          "session of %s at %s, %d ms after the acknowledgement of version %d: %s"
              .formatted(
                  requirement.change().added(),
                  SuspendableCluster.name(host),
                  sentAfterNanos / 1_000_000,
                  requirement.change().version(),
                  answer.get()));
    } else if (answeredAfterNanos > IN_FORCE_EVERYWHERE.toNanos()) {
      lateAnswers.incrementAndGet();
    } else {
      earlyRefusals.incrementAndGet();
      latestRefusalMillis.accumulateAndGet(sentAfterNanos / 1_000_000, Math::max);
    }
  }

  /** Sends a change to a host until it is acknowledged or in conflict; empty if neither. */
  private Optional<Response> sendUntilAnswered(int host, OperatorChange change) {
    long end = System.nanoTime() + OPERATORS_GIVE_UP.toNanos();
    while (System.nanoTime() < end) {
      Optional<Response> response = send(host, change);
      if (response.filter(r -> r.status() == CONFIRMED || r.status() == CONFLICT).isPresent()) {
        return response;
      }
      SuspendableCluster.sleep(RESEND_INTERVAL);
    }
    return Optional.empty();
  }

  private Optional<Response> send(int host, OperatorChange change) {
    ledger.recordSent(change);
    Optional<Response> response = cluster.replace(host, change);
    response
        .filter(r -> r.status() == CONFIRMED)
        .ifPresent(
            confirmed ->
                ledger.recordAcknowledged(
                    change, SuspendableCluster.name(host), System.nanoTime(), confirmed.body()));
    return response;
  }

  private CompletableFuture<Void> after(Duration delay, Runnable action) {
    return CompletableFuture.runAsync(
        () -> {
          SuspendableCluster.sleep(delay);
          action.run();
        },
        threads);
  }

  private static Duration between(Random random, int fromMillis, int toMillis) {
    return Duration.ofMillis(fromMillis + random.nextInt(toMillis - fromMillis));
  }

  /** One round: what a seed draws. */
  private final class Round {
    final Random random;
    final Variant variant;
    final int stopped;
    final List<CompletableFuture<Void>> operators = new ArrayList<>();
    final int padding;
    final int copies;
    final boolean rival;
    final OperatorChange lonely;
    final OperatorChange other;

    Round(int seed) throws IOException {
      random = new Random(seed);
      variant =
          VARIANT.isEmpty()
              ? Variant.values()[Math.floorMod(seed, Variant.values().length)]
              : Variant.valueOf(VARIANT);
      stopped = cluster.leader().orElseThrow();
      boolean loaded = variant == Variant.LOADED || random.nextInt(4) == 0;
      padding = loaded ? 200 + random.nextInt(400) : 0;
      copies = loaded ? 30 : 2 + random.nextInt(6);
      rival = random.nextInt(3) > 0;
      int version = nextVersion.getAndAdd(2);
      lonely = OperatorChange.of(version, inForce.databases(), "x" + version, padding);
      other = OperatorChange.of(version, inForce.databases(), "y" + version, padding);
    }

    private int otherHost() {
      return (stopped + 1 + random.nextInt(SuspendableCluster.HOSTS - 1))
          % SuspendableCluster.HOSTS;
    }

    /** Operators send a change to the stopped leader, again and again until it answers. */
    private void sendToStopped(int fromMillis, int toMillis) {
      for (int copy = 0; copy < copies; copy++) {
        operators.add(
            after(between(random, fromMillis, toMillis), () -> sendUntilAnswered(stopped, lonely)));
      }
    }

    /** Another operator sends a change of the same version elsewhere, and sometimes a next one. */
    private void sendElsewhere(int fromMillis, int toMillis) {
      if (!rival) {
        return;
      }
      boolean next = random.nextBoolean();
      int host = otherHost();
      OperatorChange following =
          OperatorChange.of(other.version() + 1, other.databases(), "z" + other.version(), padding);
      operators.add(
          after(
              between(random, fromMillis, toMillis),
              () -> {
                Optional<Response> response = sendUntilAnswered(host, other);
                if (next && response.filter(r -> r.status() == CONFIRMED).isPresent()) {
                  sendUntilAnswered(host, following);
                }
              }));
    }

    void play() throws Exception {
      switch (variant) {
        case ONE_LONG_STOP, LOADED -> playLongStop();
        case RACE_AT_RETURN -> playRaceAtReturn();
        case SEVERAL_STOPS -> playSeveralStops();
        case SLOW_RETURN -> playSlowReturn();
        case SHORT_STOP -> playShortStop();
        case LOADED_SHORT_STOPS -> playLoadedShortStops();
        case SLOW_HOST -> playSlowHost();
        default -> throw new IllegalStateException("variant " + variant);
      }
      cluster.resume(stopped);
      operators.forEach(CompletableFuture::join);
    }

    private void playLongStop() {
      final Duration stop = between(random, 3_000, 6_000);
      cluster.suspend(stopped);
      sendToStopped(0, 2_000);
      sendElsewhere(500, 2_500);
      SuspendableCluster.sleep(stop);
    }

    private void playRaceAtReturn() {
      final int stopMillis = (int) between(random, 3_000, 6_000).toMillis();
      cluster.suspend(stopped);
      sendToStopped(stopMillis - 60, stopMillis + 20);
      sendElsewhere(stopMillis - 60, stopMillis + 20);
      SuspendableCluster.sleep(Duration.ofMillis(stopMillis));
    }

    private void playSeveralStops() {
      sendToStopped(0, 3_000);
      sendElsewhere(300, 3_000);
      for (int i = 0; i < 5; i++) {
        cluster.suspend(stopped);
        SuspendableCluster.sleep(between(random, 300, 1_100));
        cluster.resume(stopped);
        SuspendableCluster.sleep(between(random, 1, 300));
      }
    }

    private void playSlowReturn() throws Exception {
      int stopMillis = (int) between(random, 1_000, 4_000).toMillis();
      cluster.suspend(stopped);
      sendToStopped(0, stopMillis);
      sendElsewhere(500, stopMillis);
      SuspendableCluster.sleep(Duration.ofMillis(stopMillis));
      Duration run = runTime();
      cluster.resumeSlowly(stopped, run, run.multipliedBy(4).plusMillis(2), 50);
    }

    /** The leader returns before the operators whose requests it had accepted have timed out. */
    private void playShortStop() {
      sendToStopped(0, 100);
      SuspendableCluster.sleep(between(random, 0, 100));
      cluster.suspend(stopped);
      sendToStopped(0, 300);
      sendElsewhere(200, 500);
      SuspendableCluster.sleep(between(random, 350, 800));
    }

    /** One leader after another stops with changes in its log, and returns step by step. */
    private void playLoadedShortStops() throws Exception {
      for (int i = 0; i < SHORT_STOPS; i++) {
        int leader = cluster.leader().orElseThrow();
        AtomicBoolean done = new AtomicBoolean();
        for (int operator = 0; operator < OPERATORS; operator++) {
          operators.add(after(Duration.ZERO, () -> sendChangeAfterChange(leader, done)));
        }
        SuspendableCluster.sleep(between(random, 100, 300));
        cluster.suspend(leader);
        SuspendableCluster.sleep(between(random, 330, 520));
        cluster.resumeSlowly(leader, runTime(), between(random, 5, 25), 8);
        SuspendableCluster.sleep(between(random, 200, 500));
        done.set(true);
      }
    }

    /** The leader never stands still for long, but gets little processor time. */
    private void playSlowHost() throws Exception {
      AtomicBoolean done = new AtomicBoolean();
      for (int operator = 0; operator < OPERATORS; operator++) {
        operators.add(after(Duration.ZERO, () -> sendChangeAfterChange(stopped, done)));
      }
      Duration pause = between(random, 30, 250);
      int repetitions = (int) (between(random, 2_000, 5_000).toMillis() / pause.toMillis());
      cluster.resumeSlowly(stopped, runTime(), pause, repetitions);
      done.set(true);
    }

    /** Sends each change once, so that no repetition makes up for one that is lost. */
    private void sendChangeAfterChange(int host, AtomicBoolean done) {
      Set<String> databases = inForce.databases();
      while (!done.get()) {
        int version = nextVersion.getAndIncrement();
        send(host, OperatorChange.of(version, databases, "w" + version, padding));
      }
    }

    private Duration runTime() {
      return Duration.ofNanos(50_000L << random.nextInt(9));
    }
  }

  /** Checks that each control host returns the newest acknowledged change or a newer one. */
  private void checkFetchedChanges() {
    for (int host = 0; host < SuspendableCluster.CONTROL_HOSTS; host++) {
      String name = SuspendableCluster.name(host);
      String json = fetch(host);
      Optional<OperatorChange> fetched = ledger.sentAs(json);
      int version = ChangeLedger.version(json).orElse(0);
      if (fetched.isEmpty() || version < ledger.highestAcknowledgedVersion()) {
        violations.add(
            "%s returns version %d, acknowledged: %d"
                .formatted(name, version, ledger.highestAcknowledgedVersion()));
        continue;
      }
      inForce = fetched.get();
      ledger.acknowledgements().stream()
          .filter(acknowledged -> acknowledged.change().version() == version)
          .filter(acknowledged -> !acknowledged.change().equals(inForce))
          .forEach(
              acknowledged ->
                  violations.add(
                      "%s returns %s instead of %s"
                          .formatted(name, inForce.databases(), ChangeLedger.text(acknowledged))));
    }
  }

  private String fetch(int host) {
    long end = System.nanoTime() + FETCH_LIMIT.toNanos();
    while (System.nanoTime() < end) {
      Optional<Response> response = cluster.fetch(host);
      if (response.filter(r -> r.status() == CONFIRMED).isPresent()) {
        return response.get().body();
      }
      SuspendableCluster.sleep(PROBE_INTERVAL);
    }
    throw new AssertionError(SuspendableCluster.name(host) + " returned no configuration");
  }

  /** Checks that no host refuses a database that the acknowledged changes contain. */
  private void checkSessions(int fromVersion) {
    for (Requirement requirement : ledger.requirements(fromVersion)) {
      for (int host = 0; host < SuspendableCluster.HOSTS; host++) {
        probe(host, requirement);
      }
    }
  }

  private void awaitInForceEverywhere() {
    long newestNanos =
        ledger.acknowledgements().stream().mapToLong(Acknowledgement::atNanos).max().orElseThrow();
    long remainingNanos = newestNanos + IN_FORCE_EVERYWHERE.toNanos() - System.nanoTime();
    SuspendableCluster.sleep(Duration.ofNanos(Math.max(0, remainingNanos)).plusMillis(50));
  }

  /** Plays one seed and returns whether all acknowledged changes were in force. */
  private boolean play(int seed) throws Exception {
    final int violationsBefore = violations.size();
    final int acknowledgedBefore = ledger.acknowledgements().size();
    final Round round = new Round(seed);
    round.play();
    awaitInForceEverywhere();
    checkFetchedChanges();
    checkSessions(round.lonely.version());
    violations.addAll(ledger.contradictions());
    List<Acknowledgement> acknowledged = ledger.acknowledgements();
    log.info(
        "seed={} variant={} stopped={} leader={} copies={} padding={} acknowledgements={}"
            + " acknowledged={} in-force={} early-refusals={} latest-millis={}"
            + " late-answers={} violations={} evidence={}",
        seed,
        round.variant,
        SuspendableCluster.name(round.stopped),
        SuspendableCluster.name(cluster.leader().orElseThrow()),
        round.copies,
        round.padding,
        acknowledged.size() - acknowledgedBefore,
        acknowledged.subList(acknowledgedBefore, acknowledged.size()).stream()
            .map(ChangeLedger::text)
            .distinct()
            .limit(LOGGED_ACKNOWLEDGEMENTS)
            .toList(),
        inForce.version(),
        earlyRefusals.getAndSet(0),
        latestRefusalMillis.getAndSet(0),
        lateAnswers.getAndSet(0),
        violations.subList(violationsBefore, violations.size()),
        cluster.newEvidence());
    return violations.size() == violationsBefore;
  }

  /** Guards against an acknowledgement of a change that is not in force. */
  @Test
  @Timeout(value = 2, unit = TimeUnit.HOURS)
  void acknowledgedChangesAreInForceAfterLeaderStoodStill() throws Exception {
    for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      boolean passed = play(seed);
      if (!passed) {
        cluster.copyLogs(Path.of("target", "stopped-leader-seed-" + seed));
      }
    }
    assertWithMessage("seeds from %s", FIRST_SEED).that(violations).isEmpty();
  }
}
