package org.alderyard.cli.local;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks that each acknowledged change is in force at all hosts, although the leader changes again
 * and again, also back to a host that has led before, and operators send to hosts that only
 * forward.
 *
 * <p>The seeds draw the times and the {@link Variant}; the processes do not repeat a run exactly.
 * The system properties {@code alternating-leaders.seeds}, {@code alternating-leaders.first-seed}
 * and {@code alternating-leaders.variant} play other seeds, or one variant, by hand.
 */
class ChangesWhileLeadersAlternateTest {
  private static final Logger log = LoggerFactory.getLogger(ChangesWhileLeadersAlternateTest.class);
  private static final int SEEDS = Integer.getInteger("alternating-leaders.seeds", 3);
  private static final int FIRST_SEED = Integer.getInteger("alternating-leaders.first-seed", 1);
  private static final String VARIANT = System.getProperty("alternating-leaders.variant", "");

  /** How often the other hosts are stopped until a host leads again. */
  private static final int MAX_TRIES_TO_LEAD = 4;

  @TempDir Path folder;
  private ChangeObserver observer;
  private SuspendableCluster cluster;

  /** How the leader changes. */
  private enum Variant {
    SAME_HOST_LEADS_AGAIN,
    LEADER_STOPS_BEHIND_FORWARDER,
    LEADER_KILLED_AFTER_ACKNOWLEDGEMENT
  }

  @BeforeEach
  void start() throws Exception {
    observer = new ChangeObserver(folder);
    observer.start();
    cluster = observer.cluster();
  }

  @AfterEach
  void stop() throws Exception {
    observer.close();
  }

  /** One round: what a seed draws. */
  private final class Round {
    private final Random random;
    private final Variant variant;
    private final int firstVersion;
    // Guarded by this; grows, so that each change keeps what earlier ones have added.
    private final Set<String> databases = new HashSet<>(Set.of("base"));
    private final AtomicBoolean done = new AtomicBoolean();
    private final List<CompletableFuture<Void>> tasks = new ArrayList<>();

    Round(int seed) {
      random = new Random(seed);
      variant =
          VARIANT.isEmpty()
              ? Variant.values()[Math.floorMod(seed, Variant.values().length)]
              : Variant.valueOf(VARIANT);
      firstVersion = observer.reserveVersions(1);
    }

    private Duration between(int fromMillis, int toMillis) {
      return Duration.ofMillis(fromMillis + random.nextInt(toMillis - fromMillis));
    }

    private int leader() throws IOException {
      return cluster.leader().orElseThrow();
    }

    private int otherControlHost(int host) {
      return (host + 1 + random.nextInt(SuspendableCluster.CONTROL_HOSTS - 1))
          % SuspendableCluster.CONTROL_HOSTS;
    }

    void play() throws Exception {
      for (int host = 0; host < SuspendableCluster.HOSTS; host++) {
        int target = host;
        tasks.add(observer.after(Duration.ZERO, () -> sendChanges(target)));
      }
      switch (variant) {
        case SAME_HOST_LEADS_AGAIN -> playSameHostLeadsAgain();
        case LEADER_STOPS_BEHIND_FORWARDER -> playLeaderStopsBehindForwarder();
        case LEADER_KILLED_AFTER_ACKNOWLEDGEMENT -> playLeaderKilled();
        default -> throw new IllegalStateException("variant " + variant);
      }
      done.set(true);
      tasks.forEach(CompletableFuture::join);
    }

    /** Sends one change after another to a host, each until it is answered; some in a race. */
    private void sendChanges(int host) {
      Random own = new Random(firstVersion * 31L + host);
      while (!done.get()) {
        List<OperatorChange> changes = nextChanges(own.nextInt(3) == 0 ? 2 : 1);
        if (changes.size() > 1) {
          int other = (host + 1) % SuspendableCluster.HOSTS;
          observer.after(Duration.ZERO, () -> observer.send(other, changes.get(1)));
        }
        observer.sendUntilAnswered(host, changes.get(0));
        SuspendableCluster.sleep(Duration.ofMillis(50 + own.nextInt(200)));
      }
    }

    /** Returns changes of one version that keep the databases of all earlier versions. */
    private synchronized List<OperatorChange> nextChanges(int count) {
      int version = observer.reserveVersions(1);
      List<OperatorChange> changes = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        changes.add(OperatorChange.of(version, databases, "d" + version + "x" + i, 0));
      }
      changes.forEach(change -> databases.add(change.added()));
      return changes;
    }

    /** A host leads, stands still, follows, leads again and stands still again. */
    private void playSameHostLeadsAgain() throws Exception {
      int first = leader();
      stopFor(first, between(5_000, 6_000));
      int third = SuspendableCluster.CONTROL_HOSTS - first - leader();
      if (third >= 0 && third < SuspendableCluster.CONTROL_HOSTS && third != leader()) {
        Duration run = Duration.ofMillis(1);
        Duration pause = between(20, 120);
        tasks.add(observer.after(Duration.ZERO, () -> slowDown(third, run, pause)));
      }
      for (int i = 0; i < MAX_TRIES_TO_LEAD && leader() != first; i++) {
        stopFor(leader(), between(1_500, 2_500));
      }
      SuspendableCluster.sleep(between(100, 1_000));
      stopFor(first, between(5_000, 6_000));
    }

    private void slowDown(int host, Duration run, Duration pause) {
      try {
        cluster.resumeSlowly(host, run, pause, (int) (4_000 / pause.toMillis()));
      } catch (Exception failure) {
        throw new IllegalStateException(failure);
      }
    }

    private void stopFor(int host, Duration duration) {
      cluster.suspend(host);
      SuspendableCluster.sleep(duration);
      cluster.resume(host);
      SuspendableCluster.sleep(between(200, 1_200));
    }

    /**
     * Operators send to followers and to a host that only forwards while the leader is replaced.
     */
    private void playLeaderStopsBehindForwarder() throws Exception {
      for (int i = 0; i < 4; i++) {
        int leader = leader();
        int follower = otherControlHost(leader);
        cluster.suspend(leader);
        SuspendableCluster.sleep(between(300, 1_800));
        boolean bothStop = random.nextBoolean();
        if (bothStop) {
          cluster.suspend(follower);
        }
        SuspendableCluster.sleep(between(50, 500));
        cluster.resume(leader);
        SuspendableCluster.sleep(between(0, 400));
        cluster.resume(follower);
        SuspendableCluster.sleep(between(200, 1_000));
      }
    }

    /** The leader is killed right after it has acknowledged a change, and comes back. */
    private void playLeaderKilled() throws Exception {
      for (int i = 0; i < 3; i++) {
        int leader = leader();
        int version = observer.reserveVersions(1);
        observer.send(
            leader, OperatorChange.of(version, observer.inForce().databases(), "k" + version, 0));
        cluster.killAndRestart(leader, between(0, 1_500));
        SuspendableCluster.sleep(between(500, 2_000));
      }
    }
  }

  /** Guards against acknowledged changes that are not in force after the leader has changed. */
  @Test
  @Timeout(value = 2, unit = TimeUnit.HOURS)
  void acknowledgedChangesAreInForceWhileLeadersAlternate() throws Exception {
    List<String> violations = new ArrayList<>();
    for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Round round = new Round(seed);
      round.play();
      List<String> found = observer.check(round.firstVersion);
      log.info(
          "seed={} variant={} {} violations={}", seed, round.variant, observer.summary(), found);
      if (!found.isEmpty()) {
        cluster.copyLogs(Path.of("target", "alternating-leaders-seed-" + seed));
      }
      violations.addAll(found);
    }
    assertWithMessage("seeds from %s", FIRST_SEED).that(violations).isEmpty();
  }
}
