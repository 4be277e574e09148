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
import org.alderyard.common.time.PausedClock;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.control.TicketVerdict;
import org.alderyard.protocol.view.ViewFollower;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Operators race, control hosts lag, restart and change the lead, proxies restart, and messages are
 * lost, repeated and late, in seeded random order. A view that went back, or a number with two
 * contents, would undo a change that an operator was told is in force.
 */
class ControlScheduleTest {
  private static final int STEPS = 12_500;
  private static final int HOSTS = 3;
  private static final int PROXIES = 4;
  private static final int IN_FLIGHT = 12;

  private final PausedClock clock = new PausedClock();
  private final FakeLog log = new FakeLog();
  private final List<ControlHost> hosts = new ArrayList<>();
  private final List<ViewFollower> proxies = new ArrayList<>();
  private final List<Message> pipe = new ArrayList<>();
  private final Map<Long, ByteString> contents = new HashMap<>();
  private final Map<ViewVersion, ByteString> chain = new HashMap<>();
  private SplittableRandom random;
  private int lastNumber;
  private int leader;
  private int advanced;
  private int refused;

  private record Message(int proxy, FetchViewReply reply, ViewVersion confirmed) {}

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void viewsNeverGoBackAndNumbersKeepTheirContent(long seed) {
    random = new SplittableRandom(seed);
    try (WorkerPool workers = new WorkerPool("schedule", 1)) {
      for (int i = 0; i < HOSTS; i++) {
        hosts.add(new ControlHost("c" + i, log, clock, workers));
      }
      for (int i = 0; i < PROXIES; i++) {
        proxies.add(ViewFollower.EMPTY);
      }
      log.lead(hosts.get(0).log);
      for (int step = 0; step < STEPS; step++) {
        step();
      }
      settle();
    }
    // The schedule reached what it is for.
    assertThat(advanced).isGreaterThan(500);
    assertThat(refused).isGreaterThan(50);
    assertThat(contents.size()).isGreaterThan(300);
  }

  private void step() {
    switch (random.nextInt(20)) {
      case 0, 1, 2, 3 -> submit();
      case 4, 5, 6 -> any(hosts).log.applyNext();
      case 7 -> maybe(10, this::changeLead);
      case 8 -> maybe(20, () -> any(hosts).restart());
      case 9 -> maybe(20, this::restartProxy);
      case 10 -> lose();
      case 11, 12, 13, 14 -> fetch(random.nextInt(PROXIES));
      default -> deliver(random.nextInt(4) == 0);
    }
  }

  private void maybe(int oneIn, Runnable action) {
    if (random.nextInt(oneIn) == 0) {
      action.run();
    }
  }

  private ControlHost any(List<ControlHost> from) {
    return from.get(random.nextInt(from.size()));
  }

  private void changeLead() {
    leader = random.nextInt(HOSTS);
    log.lead(hosts.get(leader).log);
  }

  private void submit() {
    // Half of the submissions use a number that somebody used before.
    long number = random.nextBoolean() ? ++lastNumber : 1 + random.nextInt(lastNumber + 1);
    lastNumber = (int) Math.max(lastNumber, number);
    log.loseAnswers(random.nextInt(5) == 0);
    try {
      TicketAnswer answer =
          any(hosts)
              .submit(number, ControlHost.group("g" + random.nextInt(5), 1 + random.nextInt(3)))
              .getAnswer();
      ByteString known = contents.putIfAbsent(number, answer.getContentHash());
      assertWithMessage("ticket %s has one content", number)
          .that(known == null || known.equals(answer.getContentHash()))
          .isTrue();
      assertThat(answer.getVerdict()).isAnyOf(TicketVerdict.ACCEPTED, TicketVerdict.CONFLICT);
    } catch (CompletionException lostOrNotLeader) {
      refused++;
    }
    log.loseAnswers(false);
    chain.put(
        hosts.get(leader).state.view().version(), hosts.get(leader).state.current().chainHash());
  }

  private void restartProxy() {
    int proxy = random.nextInt(PROXIES);
    proxies.set(proxy, ViewFollower.EMPTY);
    // The connections of the old process are gone.
    pipe.removeIf(message -> message.proxy() == proxy);
  }

  private void fetch(int proxy) {
    if (pipe.size() == IN_FLIGHT) {
      return;
    }
    ViewVersion confirmed = hosts.get(leader).state.view().version();
    try {
      pipe.add(new Message(proxy, any(hosts).fetch(proxies.get(proxy)), confirmed));
    } catch (CompletionException notLeader) {
      refused++;
    }
  }

  private void lose() {
    if (!pipe.isEmpty()) {
      pipe.remove(random.nextInt(pipe.size()));
    }
  }

  private void deliver(boolean repeat) {
    if (pipe.isEmpty()) {
      return;
    }
    int place = random.nextInt(pipe.size());
    Message message = repeat ? pipe.get(place) : pipe.remove(place);
    ViewFollower before = proxies.get(message.proxy());
    var result = ControlHost.accept(before, message.reply());
    ViewFollower after = result.follower();
    assertThat(after.view().version()).isAtLeast(before.view().version());
    if (result.reason() != ViewFollower.Reason.ADVANCED) {
      assertThat(after).isEqualTo(before);
      return;
    }
    advanced++;
    assertThat(after.chainHash()).isEqualTo(chain.get(after.view().version()));
    if (before.equals(ViewFollower.EMPTY)) {
      assertWithMessage("a start is from a confirmed view")
          .that(after.view().version())
          .isAtLeast(message.confirmed());
    }
    proxies.set(message.proxy(), after);
  }

  /** Once messages arrive again, every proxy comes to the leader's view. */
  private void settle() {
    ControlHost last = hosts.get(leader);
    var expected = last.state.snapshot();
    for (ControlHost host : hosts) {
      host.log.applyAll();
      assertThat(host.state.snapshot()).isEqualTo(expected);
    }
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      ViewFollower follower = proxies.get(proxy);
      for (int round = 0; round < 2; round++) {
        follower = ControlHost.accept(follower, last.fetch(follower)).follower();
      }
      assertThat(follower.chainHash()).isEqualTo(last.state.current().chainHash());
      assertThat(follower.view().groups()).isEqualTo(last.state.view().groups());
    }
  }
}
