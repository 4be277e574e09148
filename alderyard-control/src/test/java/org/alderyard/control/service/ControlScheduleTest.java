package org.alderyard.control.service;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionException;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.time.ManualClock;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.control.TicketVerdict;
import org.alderyard.protocol.view.ViewFollower;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs seeded random schedules of competing operators, control hosts that lag, restart and change
 * the leader, proxies that restart, and messages that are lost, duplicated or delayed. Guards
 * against a view that goes back to an older version, and against a number with two contents: either
 * would undo a change that was reported to an operator as in force.
 */
class ControlScheduleTest {
  private static final int STEPS = 12_500;
  private static final int HOSTS = 3;
  private static final int PROXIES = 4;
  private static final int MAX_IN_FLIGHT = 12;

  private final ManualClock clock = new ManualClock();
  private final FakeLog log = new FakeLog();
  private final List<ControlHost> hosts = new ArrayList<>();
  private final List<ViewFollower> proxies = new ArrayList<>();
  private final List<Message> inFlight = new ArrayList<>();
  private final Map<Long, ByteString> acceptedContents = new HashMap<>();
  private final Map<ViewVersion, ByteString> chainHashes = new HashMap<>();
  private SplittableRandom random;
  private int lastNumber;
  private int leader;
  private int advanced;
  private int rejected;

  private record Message(int proxy, FetchViewReply reply, ViewVersion confirmed) {}

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void viewsNeverGoBackAndNumbersKeepOneContent(long seed) {
    random = new SplittableRandom(seed);
    try (WorkerPool workers = new WorkerPool("schedule", 1)) {
      for (int i = 0; i < HOSTS; i++) {
        hosts.add(new ControlHost("c" + i, log, clock, workers));
      }
      for (int i = 0; i < PROXIES; i++) {
        proxies.add(ViewFollower.EMPTY);
      }
      log.elect(hosts.get(0).log);
      for (int step = 0; step < STEPS; step++) {
        step();
      }
      checkConvergence();
    }
    // Checks that the schedule covered enough of each case.
    assertThat(advanced).isGreaterThan(500);
    assertThat(rejected).isGreaterThan(50);
    assertThat(acceptedContents.size()).isGreaterThan(300);
  }

  private void step() {
    switch (random.nextInt(20)) {
      case 0, 1, 2, 3 -> submit();
      case 4, 5, 6 -> randomOf(hosts).log.applyNext();
      case 7 -> runWithProbability(10, this::changeLeader);
      case 8 -> runWithProbability(20, () -> randomOf(hosts).restart());
      case 9 -> runWithProbability(20, this::restartProxy);
      case 10 -> dropMessage();
      case 11, 12, 13, 14 -> fetch(random.nextInt(PROXIES));
      default -> deliver(random.nextInt(4) == 0);
    }
  }

  private void runWithProbability(int oneIn, Runnable action) {
    if (random.nextInt(oneIn) == 0) {
      action.run();
    }
  }

  private ControlHost randomOf(List<ControlHost> from) {
    return from.get(random.nextInt(from.size()));
  }

  private void changeLeader() {
    leader = random.nextInt(HOSTS);
    log.elect(hosts.get(leader).log);
  }

  private void submit() {
    // Half of the submissions reuse a number.
    long number = random.nextBoolean() ? ++lastNumber : 1 + random.nextInt(lastNumber + 1);
    lastNumber = (int) Math.max(lastNumber, number);
    log.loseAnswers(random.nextInt(5) == 0);
    try {
      TicketAnswer answer =
          randomOf(hosts)
              .submit(number, ControlHost.group("g" + random.nextInt(5), 1 + random.nextInt(3)))
              .getAnswer();
      ByteString known = acceptedContents.putIfAbsent(number, answer.getContentHash());
      assertWithMessage("ticket %s has one content", number)
          .that(known == null || known.equals(answer.getContentHash()))
          .isTrue();
      assertThat(answer.getVerdict()).isAnyOf(TicketVerdict.ACCEPTED, TicketVerdict.CONFLICT);
    } catch (CompletionException lostOrNotLeader) {
      rejected++;
    }
    log.loseAnswers(false);
    chainHashes.put(
        hosts.get(leader).state.view().version(), hosts.get(leader).state.current().chainHash());
  }

  private void restartProxy() {
    int proxy = random.nextInt(PROXIES);
    proxies.set(proxy, ViewFollower.EMPTY);
    // The connections of the old process are closed.
    inFlight.removeIf(message -> message.proxy() == proxy);
  }

  private void fetch(int proxy) {
    if (inFlight.size() == MAX_IN_FLIGHT) {
      return;
    }
    ViewVersion confirmed = hosts.get(leader).state.view().version();
    try {
      inFlight.add(new Message(proxy, randomOf(hosts).fetch(proxies.get(proxy)), confirmed));
    } catch (CompletionException notLeader) {
      rejected++;
    }
  }

  private void dropMessage() {
    if (!inFlight.isEmpty()) {
      inFlight.remove(random.nextInt(inFlight.size()));
    }
  }

  private void deliver(boolean repeat) {
    if (inFlight.isEmpty()) {
      return;
    }
    int position = random.nextInt(inFlight.size());
    Message message = repeat ? inFlight.get(position) : inFlight.remove(position);
    ViewFollower before = proxies.get(message.proxy());
    var result = ControlHost.accept(before, message.reply());
    ViewFollower after = result.follower();
    assertThat(after.view().version()).isAtLeast(before.view().version());
    if (result.reason() != ViewFollower.Reason.ADVANCED) {
      assertThat(after).isEqualTo(before);
      return;
    }
    advanced++;
    assertThat(after.chainHash()).isEqualTo(chainHashes.get(after.view().version()));
    if (before.equals(ViewFollower.EMPTY)) {
      assertWithMessage("the first view of a proxy is confirmed")
          .that(after.view().version())
          .isAtLeast(message.confirmed());
    }
    proxies.set(message.proxy(), after);
  }

  /** Checks that every proxy reaches the leader's view once messages are delivered again. */
  private void checkConvergence() {
    ControlHost leaderHost = hosts.get(leader);
    var expected = leaderHost.state.snapshot();
    for (ControlHost host : hosts) {
      host.log.applyAll();
      assertThat(host.state.snapshot()).isEqualTo(expected);
    }
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      ViewFollower follower = proxies.get(proxy);
      for (int round = 0; round < 2; round++) {
        follower = ControlHost.accept(follower, leaderHost.fetch(follower)).follower();
      }
      assertThat(follower.chainHash()).isEqualTo(leaderHost.state.current().chainHash());
      assertThat(follower.view().groups()).isEqualTo(leaderHost.state.view().groups());
    }
  }
}
