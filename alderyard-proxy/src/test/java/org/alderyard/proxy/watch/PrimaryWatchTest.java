package org.alderyard.proxy.watch;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;
import org.alderyard.common.watch.WatcherAssignment;
import org.alderyard.proxy.watch.WatchVerdict.Reason;
import org.junit.jupiter.api.Test;

/** Tests when a watcher suspects a primary and when it does not, in simulated time. */
class PrimaryWatchTest {
  private static final WatchOptions OPTIONS = WatchOptions.DEFAULT;
  private static final long TICK_MILLIS = 20;

  private final PrimaryWatch watch = newWatch(OPTIONS);

  private static PrimaryWatch newWatch(WatchOptions options) {
    return new PrimaryWatch(new GroupId("g"), 1, new ServerId("s0"), options, 0);
  }

  /** The process of the primary is killed, so its port refuses connections and writes fail. */
  @Test
  void refusedConnectionsAreSuspectedWithinQuarterSecond() {
    healthyUntil(1_000);
    long now = 1_000;
    while (watch.verdict(now).suspicion().isEmpty()) {
      now += TICK_MILLIS;
      if (watch.tryStartProbe(now, 100)) {
        watch.recordFailure(now, now);
      }
    }
    assertThat(watch.verdict(now).suspicion()).hasValue(Reason.UNREACHABLE);
    assertThat(now - 1_000).isAtMost(250);
  }

  /** The process of the primary is stopped: it accepts connections and never answers. */
  @Test
  void unresponsivePrimaryIsSuspectedAfterToleratedPause() {
    healthyUntil(1_000);
    long now = 1_000;
    while (watch.verdict(now).suspicion().isEmpty()) {
      now += TICK_MILLIS;
      watch.tryStartProbe(now, 100);
    }
    assertThat(watch.verdict(now).suspicion()).hasValue(Reason.SILENT);
    assertThat(now - 1_000).isAtLeast(OPTIONS.pauseMillis());
    assertThat(now - 1_000).isAtMost(900);
  }

  /** A slow primary must not be replaced: it answers, but after 400 ms instead of 2 ms. */
  @Test
  void slowPrimaryIsNotSuspected() {
    healthyUntil(1_000);
    answerWithDelay(1_000, 20_000, 400);
  }

  /** After a pause of the watcher of 3 s, all primaries seem to be unresponsive. */
  @Test
  void pausedWatcherSuspectsNoPrimary() {
    healthyUntil(1_000);
    watch.tryStartProbe(1_000, 100);
    PauseDetector pauseDetector = new PauseDetector(TICK_MILLIS, 150, 1_000);
    assertThat(pauseDetector.recordTick(1_020)).isFalse();
    assertThat(pauseDetector.recordTick(4_000)).isTrue();
    watch.resetAfterPause(4_000);
    assertThat(watch.verdict(4_000).suspicion()).isEmpty();
    assertThat(watch.tryStartProbe(4_000, 100)).isTrue();
  }

  /** A restarted primary answers immediately, but accepts no writes. */
  @Test
  void restartedPrimaryIsSuspectedThoughItAnswers() {
    healthyUntil(1_000);
    for (long now = 1_000; now < 1_300; now += 50) {
      watch.recordRoleLost(now, now + 2);
    }
    assertThat(watch.verdict(1_300).suspicion()).hasValue(Reason.ROLE_LOST);
  }

  /** A failed request of a caller triggers a probe, but does not make the primary suspected. */
  @Test
  void failedRequestTriggersProbe() {
    healthyUntil(1_000);
    watch.tryStartProbe(1_000, 10_000);
    watch.recordAnswer(1_000, 1_002);
    assertThat(watch.tryStartProbe(1_100, 10_000)).isFalse();
    watch.requestFailed(1_100);
    assertThat(watch.tryStartProbe(1_100, 10_000)).isTrue();
    assertThat(watch.verdict(1_102).suspicion()).isEmpty();
  }

  /**
   * Guards against the replacement of a healthy primary. For 1,000 groups and one simulated minute
   * each, 1% of the probes are lost and the primary pauses for 500 ms eleven times.
   */
  @Test
  void lossAndPausesDoNotReplacePrimary() {
    assertThat(agreedTicks(OPTIONS, 1_000)).isEqualTo(0);
  }

  /** Without a tolerated pause, the same lost probes and pauses replace a healthy primary. */
  @Test
  void sameLossAndPausesReplacePrimaryWithoutToleratedPause() {
    WatchOptions withoutToleratedPause =
        new WatchOptions(100, 50, 100, 2_000, 4, 0, 10, 8.0, 3, 700, 3_000);
    assertThat(agreedTicks(withoutToleratedPause, 10)).isGreaterThan(100);
  }

  private static int agreedTicks(WatchOptions options, int groups) {
    SplittableRandom random = new SplittableRandom(20_261_202);
    int agreed = 0;
    for (int group = 0; group < groups; group++) {
      Set<Long> paused = new HashSet<>();
      for (long second = 5; second < 60; second += 5) {
        paused.add(second * 1_000 + random.nextInt(4_000));
      }
      agreed += agreedTicks(options, random, paused);
    }
    return agreed;
  }

  /** Returns the number of ticks in a simulated minute in which two of three watchers agree. */
  private static int agreedTicks(
      WatchOptions options, SplittableRandom random, Set<Long> pauseStarts) {
    List<PrimaryWatch> watchers = List.of(newWatch(options), newWatch(options), newWatch(options));
    List<Map<Long, Long>> answers = List.of(new HashMap<>(), new HashMap<>(), new HashMap<>());
    int agreed = 0;
    for (long now = 0; now < 60_000; now += TICK_MILLIS) {
      int votes = 0;
      for (int w = 0; w < 3; w++) {
        votes += step(watchers.get(w), answers.get(w), random, pauseStarts, now) ? 1 : 0;
      }
      agreed += votes >= 2 ? 1 : 0;
    }
    return agreed;
  }

  private static boolean step(
      PrimaryWatch watch,
      Map<Long, Long> answers,
      SplittableRandom random,
      Set<Long> pauseStarts,
      long now) {
    for (long sent : new ArrayList<>(answers.keySet())) {
      if (answers.get(sent) <= now) {
        answers.remove(sent);
        watch.recordAnswer(sent, now);
      }
    }
    if (watch.tryStartProbe(now, 100) && random.nextInt(100) > 0) {
      long resumesAt =
          pauseStarts.stream()
              .filter(start -> start <= now && now < start + 500)
              .findFirst()
              .map(start -> start + 500)
              .orElse(now);
      answers.put(now, resumesAt + 3 + random.nextInt(10));
    }
    return watch.verdict(now).suspicion().isPresent();
  }

  /** Guards against the loss of two watchers of a group when one of three zones is partitioned. */
  @Test
  void watchersAreInDifferentZonesAndRarelyReassigned() {
    WatcherAssignment assignment = new WatcherAssignment();
    Map<HostId, HostState> hosts = new HashMap<>();
    for (int i = 0; i < 30; i++) {
      HostState host = host(i);
      hosts.put(host.id(), host);
    }
    Map<HostId, HostState> remaining = new HashMap<>(hosts);
    remaining.remove(host(7).id());
    for (int g = 0; g < 500; g++) {
      GroupId group = new GroupId("g" + g);
      List<HostId> watchers = assignment.watchers(group, hosts.values());
      assertThat(watchers.stream().map(id -> hosts.get(id).zone()).distinct().count()).isEqualTo(3);
      if (!watchers.contains(host(7).id())) {
        assertThat(assignment.watchers(group, remaining.values())).isEqualTo(watchers);
      }
      for (HostId host : hosts.keySet()) {
        assertThat(assignment.isWatcher(host, group, hosts)).isEqualTo(watchers.contains(host));
      }
    }
  }

  private static HostState host(int number) {
    return new HostState(
        new HostId("h" + number),
        1,
        new ZoneName("z" + number % 3),
        new InetSocketAddress("127.0.0.1", 1),
        new InetSocketAddress("127.0.0.1", 2),
        true,
        false,
        false);
  }

  private void healthyUntil(long endMillis) {
    answerWithDelay(0, endMillis, 2);
  }

  private void answerWithDelay(long fromMillis, long endMillis, long delayMillis) {
    Map<Long, Long> answers = new HashMap<>();
    for (long now = fromMillis; now < endMillis; now += 2) {
      Optional<Long> sent = Optional.ofNullable(answers.remove(now));
      long at = now;
      sent.ifPresent(from -> watch.recordAnswer(from, at));
      if (watch.tryStartProbe(now, 100)) {
        answers.put(now + delayMillis, now);
      }
      assertThat(watch.verdict(now).suspicion()).isEmpty();
    }
    answers.forEach((at, from) -> watch.recordAnswer(from, Math.min(at, endMillis)));
  }
}
