package org.alderyard.control.service;

import static com.google.common.truth.Truth.assertThat;
import static org.alderyard.control.service.ControlHost.announcement;
import static org.alderyard.control.service.ControlHost.failureCode;
import static org.alderyard.control.service.ControlHost.group;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerFingerprint;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.ManualClock;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.state.TicketObjects;
import org.alderyard.protocol.generated.control.FetchConfigurationRequest;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.ReplaceConfigurationRequest;
import org.alderyard.protocol.generated.control.ServerReads;
import org.alderyard.protocol.generated.control.SubmitTicketRequest;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketStatusRequest;
import org.alderyard.protocol.generated.control.TicketVerdict;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.view.ViewFollower;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Leader changes, restarts and partitions of control hosts, as seen by operators, servers and
 * proxies.
 */
class ControlServiceTest {
  private static final ServerId SERVER = new ServerId("s1");

  private final ManualClock clock = new ManualClock();
  private final WorkerPool workers = new WorkerPool("test", 1);
  private final FakeLog log = new FakeLog();
  private final ControlHost first = new ControlHost("c1", log, clock, workers);
  private final ControlHost second = new ControlHost("c2", log, clock, workers);

  @BeforeEach
  void elect() {
    log.elect(first.log);
  }

  @AfterEach
  void stop() {
    workers.close();
  }

  private ServerStatus status(ControlHost host) {
    return host.state.view().server(SERVER).orElseThrow().status();
  }

  private void advance(ControlHost host, long millis) {
    for (long step = 0; step < millis; step += 100) {
      clock.advance(Duration.ofMillis(100));
      host.service.registry().expireLeases();
    }
  }

  /**
   * The leader fails after it has committed ticket 1 but before it sends the answer. A resend to
   * the new leader must get the answer of the first attempt, and different content for the same
   * number must get a conflict.
   */
  @Test
  void resendAfterLostAnswerAndLeaderChangeGetsFirstAnswer() {
    log.loseAnswers(true);
    assertThat(failureCode(() -> first.submit(1, group("g1", 2))))
        .isEqualTo(ErrorCode.CONNECTION_LOST);
    log.loseAnswers(false);
    assertThat(failureCode(() -> second.submit(1, group("g1", 2)))).isEqualTo(ErrorCode.NOT_LEADER);
    log.elect(second.log);

    var resent = second.submit(1, group("g1", 2)).getAnswer();
    var competing = second.submit(1, group("g1", 3)).getAnswer();

    assertThat(resent.getVerdict()).isEqualTo(TicketVerdict.ACCEPTED);
    assertThat(resent.getAcceptedVersion().getVersion()).isEqualTo(1);
    assertThat(competing.getVerdict()).isEqualTo(TicketVerdict.CONFLICT);
    assertThat(competing.getContentHash()).isEqualTo(resent.getContentHash());
    assertThat(second.state.view().version().version()).isEqualTo(1);
  }

  /**
   * A ticket that is corrupted between two hosts must not be reported to the operator as a bad
   * request (status 400).
   */
  @Test
  void ticketCorruptedInTransitIsNotReportedAsBadRequest() {
    Ticket ticket = TicketObjects.ticket(1, List.of(group("g1", 2)));
    SubmitTicketRequest damaged =
        SubmitTicketRequest.newBuilder().setTicket(ticket.toBuilder().setNumber(2)).build();

    AlderyardException failure =
        assertThrows(AlderyardException.class, () -> first.service.submit(damaged));

    assertThat(failure.code()).isEqualTo(ErrorCode.MESSAGE_DAMAGED);
    assertThat(failure.code().isRequestFault()).isFalse();
  }

  /**
   * A control host returns from a partition during which 300 tickets were accepted. Neither a newly
   * started proxy nor a running one may receive its old view, and it must reject a delayed ticket.
   */
  @Test
  void returningControlHostServesNoOldViewAndRejectsDelayedTicket() {
    first.submitMany(10);
    second.log.applyAll();
    ViewFollower running = catchUp(first, ViewFollower.EMPTY);
    first.submitMany(300);
    running = catchUp(first, running);

    assertThat(failureCode(() -> second.fetch(ViewFollower.EMPTY))).isEqualTo(ErrorCode.NOT_LEADER);
    var late = ControlHost.accept(running, second.fetch(running));
    assertThat(late.follower()).isEqualTo(running);
    assertThat(failureCode(() -> second.submit(5, group("g1", 1)))).isEqualTo(ErrorCode.NOT_LEADER);

    second.log.applyAll();
    first.submit(500, group("g9", 1));
    second.log.applyAll();
    var caughtUp = ControlHost.accept(running, second.fetch(running));
    assertThat(caughtUp.follower().view().version()).isEqualTo(first.state.view().version());
    assertThat(first.submit(5, group("g1", 1)).getAnswer().getVerdict())
        .isEqualTo(TicketVerdict.CONFLICT);
  }

  private static ViewFollower catchUp(ControlHost host, ViewFollower from) {
    ViewFollower current = from;
    while (true) {
      var result = ControlHost.accept(current, host.fetch(current));
      if (result.reason() != ViewFollower.Reason.ADVANCED) {
        return result.follower();
      }
      current = result.follower();
    }
  }

  /**
   * A proxy that restarts after hundreds of changes starts from a snapshot of the leader's view.
   */
  @Test
  void restartedProxyStartsFromConfirmedSnapshotAndContinuesWithDeltas() {
    first.submitMany(300);
    var snapshot = first.fetch(ViewFollower.EMPTY);
    assertThat(snapshot.hasSnapshot()).isTrue();
    ViewFollower follower = ControlHost.accept(ViewFollower.EMPTY, snapshot).follower();
    assertThat(follower.view().version()).isEqualTo(first.state.view().version());

    first.submit(900, group("g1", 42));
    var next = first.fetch(follower);
    assertThat(next.getDeltas().getDeltasCount()).isEqualTo(1);
    follower = ControlHost.accept(follower, next).follower();
    assertThat(follower.view().group(new GroupId("g1")).get().slotsPerServer()).isEqualTo(42);
  }

  /**
   * The source of a large configuration fills the links of hosts, so that responses to operators
   * are late by seconds.
   */
  @Test
  void viewsOfHostsDoNotContainSourceOfConfiguration() {
    Configuration configuration =
        Configuration.newBuilder()
            .setNumber(1)
            .setSource(ByteString.copyFromUtf8("x".repeat(100_000)))
            .build();
    first.submitMany(1);
    ViewFollower before = catchUp(first, ViewFollower.EMPTY);
    first
        .service
        .configurations()
        .replace(ReplaceConfigurationRequest.newBuilder().setConfiguration(configuration).build())
        .join();

    var delta = first.fetch(before);
    var snapshot = first.fetch(ViewFollower.EMPTY);

    assertThat(delta.getSerializedSize()).isLessThan(1_000);
    assertThat(snapshot.getSerializedSize()).isLessThan(1_000);
    ViewFollower after = ControlHost.accept(before, delta).follower();
    assertThat(after.view().configuration().orElseThrow().number()).isEqualTo(1);
    assertThat(after.chainHash()).isEqualTo(snapshot.getChainHash());
    assertThat(
            first
                .service
                .configurations()
                .fetch(FetchConfigurationRequest.getDefaultInstance())
                .join()
                .getConfiguration()
                .getSource())
        .isEqualTo(configuration.getSource());
  }

  /** A restarted control host has no deltas, so a proxy that lags gets a snapshot. */
  @Test
  void restartedControlHostAnswersLaggingProxyWithSnapshot() {
    first.submitMany(20);
    ViewFollower old = catchUp(first, ViewFollower.EMPTY);
    first.submit(100, group("g1", 7));
    first.restart();

    var reply = first.fetch(old);

    assertThat(reply.hasSnapshot()).isTrue();
    assertThat(ControlHost.accept(old, reply).follower().view().version())
        .isEqualTo(first.state.view().version());
  }

  @Test
  void groupFilterOmitsOtherGroupsAndTheirServers() {
    first.submit(1, group("g1", 2), group("g2", 2));
    first.announce(announcement("s1", 1));
    ViewFollower follower =
        ControlHost.accept(ViewFollower.EMPTY, first.fetch(ViewFollower.EMPTY, "g2")).follower();
    assertThat(follower.view().groups().keySet()).containsExactly(new GroupId("g2"));
    assertThat(follower.view().servers()).isEmpty();

    first.submit(2, group("g1", 3), group("g2", 4));
    follower = ControlHost.accept(follower, first.fetch(follower, "g2")).follower();
    assertThat(follower.view().version()).isEqualTo(first.state.view().version());
    assertThat(follower.view().groups().keySet()).containsExactly(new GroupId("g2"));
    assertThat(follower.view().group(new GroupId("g2")).get().slotsPerServer()).isEqualTo(4);
  }

  /** A server stops without deregistration, as after a power loss of its host. */
  @Test
  void serverWithoutAnnouncementsExpiresWithItsLease() {
    first.announce(announcement("s1", 1));
    advance(first, 1_400);
    assertThat(status(first)).isEqualTo(ServerStatus.ACTIVE);
    first.announce(announcement("s1", 1));
    long commands = log.lastIndex();
    advance(first, 1_400);
    assertThat(status(first)).isEqualTo(ServerStatus.ACTIVE);
    assertThat(log.lastIndex()).isEqualTo(commands);
    advance(first, 200);
    assertThat(status(first)).isEqualTo(ServerStatus.EXPIRED);

    first.announce(announcement("s1", 1));
    assertThat(status(first)).isEqualTo(ServerStatus.ACTIVE);
  }

  /**
   * A server leaves and is replaced under the same name. Delayed announcements from before must not
   * make it active again, because requests would be sent to a stopped process.
   */
  @Test
  void delayedAnnouncementsActivateNeitherLeavingServerNorEarlierIncarnation() {
    first.announce(announcement("s1", 5));
    first.announce(announcement("s1", 5).setLeaving(true));
    assertThat(first.announce(announcement("s1", 5)).getStaleServersList()).containsExactly("s1");
    assertThat(status(first)).isEqualTo(ServerStatus.LEAVING);

    first.announce(announcement("s1", 6));
    assertThat(first.announce(announcement("s1", 5)).getStaleServersList()).containsExactly("s1");
    advance(first, 1_600);
    assertThat(status(first)).isEqualTo(ServerStatus.EXPIRED);
    assertThat(first.announce(announcement("s1", 5)).getStaleServersList()).containsExactly("s1");
    assertThat(status(first)).isEqualTo(ServerStatus.EXPIRED);
  }

  /**
   * The leader fails just before a lease would end. Its successor has received no renewal, and
   * ending the lease immediately would remove a healthy server. When the first leader is elected
   * again, its old lease table must not end leases either.
   */
  @Test
  void newLeaderGrantsEveryLeaseFullPeriod() {
    first.announce(announcement("s1", 1));
    advance(first, 1_400);
    log.elect(second.log);
    advance(second, 1_400);
    assertThat(status(second)).isEqualTo(ServerStatus.ACTIVE);
    log.elect(first.log);
    advance(first, 1_400);
    assertThat(status(first)).isEqualTo(ServerStatus.ACTIVE);
    advance(first, 300);
    assertThat(status(first)).isEqualTo(ServerStatus.EXPIRED);
  }

  /**
   * Of three proxies one acknowledges a ticket, one hangs and one shuts down. The hanging proxy
   * counts in "N of M" until its lease ends; the proxy that left does not count.
   */
  @Test
  void ticketProgressCountsAcknowledgingHostsOfHostsWithLease() {
    ViewFollower none = ViewFollower.EMPTY;
    for (String host : new String[] {"h1", "h2", "h3"}) {
      first.heartbeat(host, 1, none, false);
    }
    first.submit(1, group("g1", 2));
    ViewFollower running = catchUp(first, none);
    first.heartbeat("h3", 1, running, true);
    first.heartbeat("h1", 1, running, false);
    assertThat(inForce(1)).isEqualTo("1 of 2");

    advance(first, 2_000);
    first.heartbeat("h1", 1, running, false);
    advance(first, 1_100);
    assertThat(inForce(1)).isEqualTo("1 of 1");
    for (int second = 0; second < 8; second++) {
      first.heartbeat("h1", 1, running, false);
      advance(first, 1_000);
    }
    assertThat(first.state.view().hosts().keySet()).containsExactly(new HostId("h1"));
    assertThat(failureCode(() -> first.heartbeatOfOldIncarnation("h1")))
        .isEqualTo(ErrorCode.PEER_REJECTED);
  }

  /**
   * Guards against a view change for each cold heartbeat, and against replies without a request.
   */
  @Test
  void heartbeatsCarryReadsOfOtherHostsAndColdServers() {
    first.announce(announcement("s1", 5).setColdRemainingMillis(900));
    ViewVersion announced = first.state.view().version();
    first.announce(announcement("s1", 5).setColdRemainingMillis(400));
    assertThat(first.state.view().version()).isEqualTo(announced);

    int server = ServerFingerprint.of(new ServerId("s1"), 5);
    first.share("h1", ServerReads.newBuilder().setServer(server).setFailed(3).build());
    HeartbeatReply reply =
        first.share("h2", ServerReads.newBuilder().setServer(server).setFailed(1).build());
    assertThat(reply.getReadsList())
        .containsExactly(
            ServerReads.newBuilder()
                .setServer(server)
                .setFailed(3)
                .setColdRemainingMillis(400)
                .build());
    assertThat(first.heartbeat("h3", 1, ViewFollower.EMPTY, false).getHasReads()).isFalse();
  }

  /** A proxy that lags by 300 changes gets all of them in one reply. */
  @Test
  void laggingHostGetsAllDeltasInOneReply() {
    ViewFollower follower = catchUp(first, ViewFollower.EMPTY);
    first.submit(1, group("g1", 1));
    follower = catchUp(first, follower);
    int answers = 0;
    for (int number = 2; number <= 301; number++) {
      first.submit(number, group("g1", 1 + number % 90));
    }
    while (!follower.view().version().equals(first.state.view().version())) {
      follower = ControlHost.accept(follower, first.fetch(follower)).follower();
      answers++;
    }
    assertThat(answers).isEqualTo(1);
  }

  private String inForce(long number) {
    var ticket =
        first
            .service
            .tickets()
            .status(TicketStatusRequest.newBuilder().setNumber(number).build())
            .join()
            .getTickets(0);
    return ticket.getHostsInForce() + " of " + ticket.getHostsExpected();
  }
}
