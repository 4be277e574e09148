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

/** What makes a watcher suspect a primary, and what does not; in model time. */
class PrimaryWatchTest {
  private static final WatchOptions OPTIONS = WatchOptions.DEFAULT;
  private static final long TICK_MILLIS = 20;

  private final PrimaryWatch watch = newWatch(OPTIONS);

  private static PrimaryWatch newWatch(WatchOptions options) {
    return new PrimaryWatch(new GroupId("g"), 1, new ServerId("s0"), options, 0);
  }

  /** Writes stand still: the process of the primary was killed, so its port refuses. */
  @Test
  void refusedConnectionsAreSuspectedWithinQuarterSecond() {
    healthyUntil(1_000);
    long now = 1_000;
    while (watch.verdict(now).suspicion().isEmpty()) {
      now += TICK_MILLIS;
      if (watch.takeProbe(now, 100)) {
        watch.failed(now, now);
      }
    }
    assertThat(watch.verdict(now).suspicion()).hasValue(Reason.UNREACHABLE);
    assertThat(now - 1_000).isAtMost(250);
  }

  /** The primary's process is stopped: it takes connections and never answers. */
  @Test
  void silenceIsSuspectedAfterAllowedPause() {
    healthyUntil(1_000);
    long now = 1_000;
    while (watch.verdict(now).suspicion().isEmpty()) {
      now += TICK_MILLIS;
      watch.takeProbe(now, 100);
    }
    assertThat(watch.verdict(now).suspicion()).hasValue(Reason.SILENT);
    assertThat(now - 1_000).isAtLeast(OPTIONS.pauseMillis());
    assertThat(now - 1_000).isAtMost(900);
  }

  /** A slow server is replaced for nothing: its answers take 400 ms instead of 2, but come. */
  @Test
  void serverThatBecomesSlowIsTrusted() {
    healthyUntil(1_000);
    answerWithDelay(1_000, 20_000, 400);
  }

  /** The watcher itself stood still for 3 s; on waking, all primaries look silent. */
  @Test
  void pausedWatcherSuspectsNoOne() {
    healthyUntil(1_000);
    watch.takeProbe(1_000, 100);
    PauseDetector pauses = new PauseDetector(TICK_MILLIS, 150, 1_000);
    assertThat(pauses.paused(1_020)).isFalse();
    assertThat(pauses.paused(4_000)).isTrue();
    watch.watcherPaused(4_000);
    assertThat(watch.verdict(4_000).suspicion()).isEmpty();
    assertThat(watch.takeProbe(4_000, 100)).isTrue();
  }

  /** The primary was restarted and answers at once, but takes no writes. */
  @Test
  void restartedPrimaryIsSuspectedThoughItAnswers() {
    healthyUntil(1_000);
    for (long now = 1_000; now < 1_300; now += 50) {
      watch.lostRole(now, now + 2);
    }
    assertThat(watch.verdict(1_300).suspicion()).hasValue(Reason.ROLE_LOST);
  }

  /** A caller's request failed: the primary is probed at once, and trusted if it answers. */
  @Test
  void failedRequestHurriesProbe() {
    healthyUntil(1_000);
    watch.takeProbe(1_000, 10_000);
    watch.answered(1_000, 1_002);
    assertThat(watch.takeProbe(1_100, 10_000)).isFalse();
    watch.requestFailed(1_100);
    assertThat(watch.takeProbe(1_100, 10_000)).isTrue();
    assertThat(watch.verdict(1_102).suspicion()).isEmpty();
  }

  /**
   * A healthy primary would be replaced. For 1,000 groups and a model minute each, 1% of the probes
   * are lost for good and the primary stops for 500 ms eleven times.
   */
  @Test
  void lossAndPausesPromoteNoOne() {
    assertThat(agreedTicks(OPTIONS, 1_000)).isEqualTo(0);
  }

  /** The check above can fail: a watcher that allows for no pause does replace such a primary. */
  @Test
  void sameLossAndPausesPromoteWithoutAllowance() {
    WatchOptions hasty = new WatchOptions(100, 50, 100, 2_000, 4, 0, 10, 8.0, 3, 700, 3_000);
    assertThat(agreedTicks(hasty, 10)).isGreaterThan(100);
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

  /** Returns in how many ticks of a model minute two of three watchers suspected the primary. */
  private static int agreedTicks(WatchOptions options, SplittableRandom random, Set<Long> pauses) {
    List<PrimaryWatch> watchers = List.of(newWatch(options), newWatch(options), newWatch(options));
    List<Map<Long, Long>> answers = List.of(new HashMap<>(), new HashMap<>(), new HashMap<>());
    int agreed = 0;
    for (long now = 0; now < 60_000; now += TICK_MILLIS) {
      int votes = 0;
      for (int w = 0; w < 3; w++) {
        votes += step(watchers.get(w), answers.get(w), random, pauses, now) ? 1 : 0;
      }
      agreed += votes >= 2 ? 1 : 0;
    }
    return agreed;
  }

  private static boolean step(
      PrimaryWatch watch,
      Map<Long, Long> answers,
      SplittableRandom random,
      Set<Long> pauses,
      long now) {
    for (long sent : new ArrayList<>(answers.keySet())) {
      if (answers.get(sent) <= now) {
        answers.remove(sent);
        watch.answered(sent, now);
      }
    }
    if (watch.takeProbe(now, 100) && random.nextInt(100) > 0) {
      long wakes =
          pauses.stream()
              .filter(start -> start <= now && now < start + 500)
              .findFirst()
              .map(start -> start + 500)
              .orElse(now);
      answers.put(now, wakes + 3 + random.nextInt(10));
    }
    return watch.verdict(now).suspicion().isPresent();
  }

  /** A zone is cut off: no group may have two watchers there while three zones have proxies. */
  @Test
  void watchersStandInDifferentZonesAndMoveLittle() {
    WatcherAssignment assignment = new WatcherAssignment();
    Map<HostId, HostState> hosts = new HashMap<>();
    for (int i = 0; i < 30; i++) {
      HostState host = host(i);
      hosts.put(host.id(), host);
    }
    Map<HostId, HostState> fewer = new HashMap<>(hosts);
    fewer.remove(host(7).id());
    for (int g = 0; g < 500; g++) {
      GroupId group = new GroupId("g" + g);
      List<HostId> watchers = assignment.watchers(group, hosts.values());
      assertThat(watchers.stream().map(id -> hosts.get(id).zone()).distinct().count()).isEqualTo(3);
      if (!watchers.contains(host(7).id())) {
        assertThat(assignment.watchers(group, fewer.values())).isEqualTo(watchers);
      }
      for (HostId host : hosts.keySet()) {
        assertThat(assignment.watches(host, group, hosts)).isEqualTo(watchers.contains(host));
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
      sent.ifPresent(from -> watch.answered(from, at));
      if (watch.takeProbe(now, 100)) {
        answers.put(now + delayMillis, now);
      }
      assertThat(watch.verdict(now).suspicion()).isEmpty();
    }
    answers.forEach((at, from) -> watch.answered(from, Math.min(at, endMillis)));
  }
}
