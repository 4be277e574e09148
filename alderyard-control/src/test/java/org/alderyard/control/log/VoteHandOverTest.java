package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.Membership;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.testkit.net.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the replacement of voters that stop, with real sockets and files. */
class VoteHandOverTest {
  private static final int VOTERS = 3;
  private static final int SUCCESSOR = 3;
  private static final int MAX_VOTERS = 5;
  private static final long SECOND_LOSS_MILLIS = 300;
  private static final long ELECTIONS_NANOS = 3_000_000_000L;
  private static final long CATCH_UP_NANOS = 4_000_000_000L;

  @TempDir Path root;

  private final List<InetSocketAddress> addresses =
      Stream.generate(FreePorts::nextAddress).limit(MAX_VOTERS + 1).toList();
  private final Map<Integer, LogHost> hosts = new TreeMap<>();

  @AfterEach
  void killAll() {
    hosts.values().forEach(LogHost::kill);
  }

  private void start(int number) {
    start(number, VOTERS, number < VOTERS);
  }

  private void start(int number, int voters, boolean mayFound) {
    HostId host = new HostId("control-" + number);
    OpenMembership membership = new OpenMembership(voters, mayFound, () -> addresses);
    hosts.put(
        number,
        new LogHost(
            host,
            addresses.get(number),
            addresses.subList(0, voters),
            folderOf(number),
            LogHost.OPTIONS,
            Optional.of(membership)));
  }

  private Path folderOf(int number) {
    return root.resolve("control-" + number);
  }

  private void emptyDisk(int number) {
    try (Stream<Path> files = Files.walk(folderOf(number))) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private LogHost leader() {
    LogHost.await(
        "a leader", () -> hosts.values().stream().anyMatch(host -> host.log().isLeader()));
    return hosts.values().stream()
        .filter(host -> host.log().isLeader())
        .findFirst()
        .orElseGet(this::leader);
  }

  private int leaderNumber() {
    LogHost leader = leader();
    return hosts.keySet().stream().filter(number -> hosts.get(number) == leader).findFirst().get();
  }

  private Membership membership() {
    return leader().log().status().membership();
  }

  private boolean votes(int number) {
    return membership().membersOnHost("control-" + number).stream()
        .anyMatch(member -> member.getVoter());
  }

  private void propose(String command) {
    LogHost.await(
        "command " + command,
        () -> {
          try {
            leader().log().propose(ByteString.copyFromUtf8(command)).join();
            return true;
          } catch (CompletionException notLeading) {
            return false;
          }
        });
  }

  private void startWithSuccessor() {
    for (int number = 0; number < VOTERS; number++) {
      start(number);
    }
    propose("first");
    start(SUCCESSOR);
    LogHost.await(
        "the successor holds the log",
        () ->
            hosts.get(SUCCESSOR).commands().contains("first")
                && !membership().membersOnHost("control-3").isEmpty());
  }

  /**
   * Guards against a log that ends for good: a host stops for planned work, and the disk of another
   * one is lost at once.
   */
  @Test
  void logOutlivesLossOfDiskRightAfterPlannedStop() {
    startWithSuccessor();
    int stopped = leaderNumber() == 0 ? 1 : 0;
    hosts.remove(stopped).close();
    assertThat(votes(SUCCESSOR)).isTrue();

    int lost = leaderNumber() == 2 ? 1 - stopped : 2;
    hosts.remove(lost).kill();
    propose("second");
    assertThat(leader().commands()).containsAtLeast("first", "second");
  }

  /**
   * Guards against a member that is never reached: a host that has handed over its vote joins again
   * while it stops, and the leader connects to it for good.
   */
  @Test
  void hostThatStopsDoesNotJoinAgain() {
    startWithSuccessor();
    giveTimeToCatchUp(SUCCESSOR);
    int stopped = leaderNumber();
    hosts.remove(stopped).close();
    LogHost.await("the vote is removed", () -> !votes(stopped));
    propose("second");
    assertThat(membership().membersOnHost("control-" + stopped)).isEmpty();
  }

  /**
   * Guards against a host that is stopped and started again, and comes back without the vote that
   * is needed when the host to replace is gone.
   */
  @Test
  void hostThatIsStartedAgainVotesBesideSuccessor() {
    startWithSuccessor();
    giveTimeToCatchUp(SUCCESSOR);
    int restarted = (leaderNumber() + 1) % VOTERS;
    hosts.remove(restarted).close();
    LogHost.await("the vote is removed", () -> !votes(restarted));
    start(restarted);

    awaitCatchUpTime(() -> votes(restarted));
    assertThat(votes(restarted)).isTrue();
    assertThat(membership().voters()).hasSize(VOTERS + 1);
  }

  /** Guards against the same loss where the host that stops is the leader. */
  @Test
  void leaderThatStopsHandsOverItsVote() {
    startWithSuccessor();
    int stopped = leaderNumber();
    hosts.remove(stopped).close();

    assertThat(votes(SUCCESSOR)).isTrue();
    assertThat(votes(stopped)).isFalse();
  }

  /**
   * Guards against a log that ends for good: a host whose successor has caught up is gone without
   * notice, and as many disks as may be lost are lost in the same moment.
   */
  @ParameterizedTest
  @CsvSource({"3, false", "3, true", "5, false", "5, true"})
  void logOutlivesLossOfDisksRightAfterKill(int voters, boolean leaderIsKilled) {
    for (int number = 0; number < voters; number++) {
      start(number, voters, true);
    }
    propose("first");
    start(voters, voters, false);
    giveTimeToCatchUp(voters);
    propose("second");

    int lead = leaderNumber();
    int killed = leaderIsKilled ? lead : (lead + 1) % voters;
    List<Integer> wiped =
        IntStream.range(0, voters)
            .filter(number -> number != killed)
            .boxed()
            .limit(voters / 2)
            .toList();
    hosts.remove(killed).kill();
    wiped.forEach(number -> hosts.remove(number).kill());
    wiped.forEach(this::emptyDisk);
    wiped.forEach(number -> start(number, voters, false));

    propose("third");
    assertThat(leader().commands()).containsAtLeast("first", "second", "third").inOrder();
    LogHost.await(
        "the hosts that lost their disks hold the log",
        () -> wiped.stream().allMatch(number -> hosts.get(number).commands().contains("third")));
  }

  /**
   * Guards against two halves of the voters that both elect a leader: a request to join, which is
   * read after its replica lost its disk too, takes the replica that votes by now for lost.
   */
  @Test
  void lateRequestOfReplacedReplicaIsNoProofOfLostDisk() {
    startWithSuccessor();
    giveTimeToCatchUp(SUCCESSOR);
    int lead = leaderNumber();
    List<Integer> followers = hosts.keySet().stream().filter(number -> number != lead).toList();
    Member late =
        membership().membersOnHost("control-" + followers.get(0)).get(0).toBuilder()
            .setReplicaId(1)
            .setVoter(false)
            .setSuccessor(true)
            .build();
    for (int number : List.of(lead, followers.get(2))) {
      LogHost.requestToJoin(late, addresses.get(number));
    }
    List<LogHost> frozen = followers.subList(0, 2).stream().map(hosts::get).toList();
    frozen.forEach(LogHost::stallLog);
    propose("stall");

    awaitNoLeader();
    frozen.get(0).endStall();
    propose("second");
    assertThat(leader().commands()).containsAtLeast("first", "second");
    frozen.get(1).endStall();
  }

  /** Two of four voters may take some seconds to give up, but then elect nobody. */
  private void awaitNoLeader() {
    LogHost.await(
        "the leader steps down", () -> hosts.values().stream().noneMatch(this::leadsInTerm));
    long endNanos = System.nanoTime() + ELECTIONS_NANOS;
    while (System.nanoTime() < endNanos) {
      assertThat(hosts.values().stream().noneMatch(this::leadsInTerm)).isTrue();
    }
  }

  private boolean leadsInTerm(LogHost host) {
    return host.log().isLeader();
  }

  /** Guards against a log that ends for good when two hosts with successors are gone at once. */
  @Test
  void logOutlivesTwoReplacedHostsThatAreGoneAtOnce() {
    startWithSuccessor();
    start(SUCCESSOR + 1);
    giveTimeToCatchUp(SUCCESSOR);
    giveTimeToCatchUp(SUCCESSOR + 1);
    hosts.remove(0).kill();
    hosts.remove(1).kill();

    propose("second");
    assertThat(leader().commands()).containsAtLeast("first", "second");
    LogHost.await("three voters are left", () -> membership().voters().size() == VOTERS);
  }

  /**
   * Guards against a log that ends for good: a second host is gone for good shortly after a
   * replaced one, which still votes until the leader has noticed its end.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void logOutlivesHostThatIsGoneRightAfterReplacedOne(boolean leaderIsReplaced) throws Exception {
    startWithSuccessor();
    giveTimeToCatchUp(SUCCESSOR);
    int lead = leaderNumber();
    int replaced = leaderIsReplaced ? lead : (lead + 1) % VOTERS;
    hosts.remove(replaced).kill();
    Thread.sleep(SECOND_LOSS_MILLIS);
    hosts.remove((replaced + 1) % VOTERS).kill();

    propose("second");
    assertThat(leader().commands()).containsAtLeast("first", "second");
  }

  /**
   * Guards against a log that ends for good: a host that froze comes back without a vote, so that
   * no further voter is left when a replaced host is gone and a disk is lost.
   */
  @Test
  void hostThatFrozeVotesAgainBeforeNextLoss() {
    startWithSuccessor();
    giveTimeToCatchUp(SUCCESSOR);
    int lead = leaderNumber();
    final int replaced = (lead + 1) % VOTERS;
    int frozen = (lead + 2) % VOTERS;
    hosts.get(frozen).stallLog();
    propose("stall");
    LogHost.await("the frozen host has no vote", () -> !votes(frozen));
    hosts.get(frozen).endStall();
    giveTimeToCatchUp(frozen);

    hosts.remove(replaced).kill();
    hosts.remove(lead).kill();
    emptyDisk(lead);
    start(lead, VOTERS, false);
    propose("third");
    assertThat(leader().commands()).containsAtLeast("first", "third").inOrder();
  }

  /**
   * Guards against a log that ends for good: a host loses its disk, and the next one does as soon
   * as the first one is back for long enough.
   */
  @Test
  void logOutlivesLossOfOneDiskAfterTheOther() {
    for (int number = 0; number < VOTERS; number++) {
      start(number);
    }
    propose("first");
    for (int wiped : List.of(0, 1, 2)) {
      final List<Member> lost = membership().membersOnHost("control-" + wiped);
      hosts.remove(wiped).kill();
      emptyDisk(wiped);
      start(wiped, VOTERS, false);
      awaitCatchUpTime(() -> votes(wiped) && isReplaced(lost));
      propose("wiped " + wiped);
    }
    assertThat(leader().commands()).containsAtLeast("first", "wiped 0", "wiped 1", "wiped 2");
  }

  private boolean isReplaced(List<Member> members) {
    return members.stream()
        .noneMatch(member -> membership().member(member.getReplicaId()).isPresent());
  }

  /** The leader may report the vote before it is committed; the confirmed command follows it. */
  private void giveTimeToCatchUp(int successor) {
    awaitCatchUpTime(() -> votes(successor));
    propose("after the vote of " + successor);
  }

  /** Waits until the condition holds, or for the time after which the next host may be lost. */
  private static void awaitCatchUpTime(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + CATCH_UP_NANOS;
    while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
  }

  /** Guards against a window of seconds in which a host that was killed still counts as a voter. */
  @Test
  void successorReplacesKilledVoterWithinCatchUpTime() {
    startWithSuccessor();
    int killed = leaderNumber();
    long startNanos = System.nanoTime();
    hosts.remove(killed).kill();

    LogHost.await("the successor votes", () -> votes(SUCCESSOR));
    assertThat(System.nanoTime() - startNanos).isLessThan(CATCH_UP_NANOS);
  }

  @Test
  void hostWithoutSuccessorStopsAtOnce() {
    for (int number = 0; number < VOTERS; number++) {
      start(number);
    }
    propose("first");
    int stopped = leaderNumber() == 0 ? 1 : 0;
    hosts.remove(stopped).close();

    assertThat(votes(stopped)).isTrue();
    propose("second");
  }
}
