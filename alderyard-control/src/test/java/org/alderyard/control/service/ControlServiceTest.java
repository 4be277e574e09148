package org.alderyard.control.service;

import static com.google.common.truth.Truth.assertThat;
import static org.alderyard.control.service.ControlHost.announcement;
import static org.alderyard.control.service.ControlHost.failure;
import static org.alderyard.control.service.ControlHost.group;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.PausedClock;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.control.state.TicketObjects;
import org.alderyard.protocol.generated.control.SubmitTicketRequest;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketStatusRequest;
import org.alderyard.protocol.generated.control.TicketVerdict;
import org.alderyard.protocol.view.ViewFollower;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Control hosts that come, go and return, and what operators, servers and proxies then see. */
class ControlServiceTest {
  private static final ServerId SERVER = new ServerId("s1");

  private final PausedClock clock = new PausedClock();
  private final WorkerPool workers = new WorkerPool("test", 1);
  private final FakeLog log = new FakeLog();
  private final ControlHost first = new ControlHost("c1", log, clock, workers);
  private final ControlHost second = new ControlHost("c2", log, clock, workers);

  @BeforeEach
  void elect() {
    log.lead(first.log);
  }

  @AfterEach
  void stop() {
    workers.close();
  }

  private ServerStatus status(ControlHost host) {
    return host.state.view().server(SERVER).orElseThrow().status();
  }

  private void pass(ControlHost host, long millis) {
    for (long step = 0; step < millis; step += 100) {
      clock.advance(Duration.ofMillis(100));
      host.service.registry().sweep();
    }
  }

  /**
   * An operator sends ticket 1 to the leader; it is committed, but the leader dies before the
   * answer is sent. The operator resends through the new leader, which answers as the first would
   * have; a colleague who races with the same number gets the conflict.
   */
  @Test
  void resendAfterLostAnswerDuringLeaderChangeGetsTheFirstAnswer() {
    log.loseAnswers(true);
    assertThat(failure(() -> first.submit(1, group("g1", 2)))).isEqualTo(ErrorCode.CONNECTION_LOST);
    log.loseAnswers(false);
    assertThat(failure(() -> second.submit(1, group("g1", 2)))).isEqualTo(ErrorCode.NOT_LEADER);
    log.lead(second.log);

    var again = second.submit(1, group("g1", 2)).getAnswer();
    var raced = second.submit(1, group("g1", 3)).getAnswer();

    assertThat(again.getVerdict()).isEqualTo(TicketVerdict.ACCEPTED);
    assertThat(again.getAcceptedVersion().getVersion()).isEqualTo(1);
    assertThat(raced.getVerdict()).isEqualTo(TicketVerdict.CONFLICT);
    assertThat(raced.getContentHash()).isEqualTo(again.getContentHash());
    assertThat(second.state.view().version().version()).isEqualTo(1);
  }

  /** Guards against a 400 for an operator whose ticket was damaged between two hosts. */
  @Test
  void ticketThatWasDamagedOnItsWayDoesNotBlameTheOperator() {
    Ticket ticket = TicketObjects.ticket(1, List.of(group("g1", 2)));
    SubmitTicketRequest damaged =
        SubmitTicketRequest.newBuilder().setTicket(ticket.toBuilder().setNumber(2)).build();

    AlderyardException failure =
        assertThrows(AlderyardException.class, () -> first.service.submit(damaged));

    assertThat(failure.code()).isEqualTo(ErrorCode.MESSAGE_DAMAGED);
    assertThat(failure.code().blamesRequest()).isFalse();
  }

  /**
   * A control host sat behind a partition while 300 tickets passed. It returns with its old view
   * and a ticket that an operator gave it long ago. A proxy that just started asks it, a running
   * one too: neither may get the old view, and the ticket is refused there.
   */
  @Test
  void returningControlHostBringsNoOldViewAndNoDelayedTicket() {
    first.submitMany(10);
    second.log.applyAll();
    ViewFollower running = follow(first, ViewFollower.EMPTY);
    first.submitMany(300);
    running = follow(first, running);

    assertThat(failure(() -> second.fetch(ViewFollower.EMPTY))).isEqualTo(ErrorCode.NOT_LEADER);
    var late = ControlHost.accept(running, second.fetch(running));
    assertThat(late.follower()).isEqualTo(running);
    assertThat(failure(() -> second.submit(5, group("g1", 1)))).isEqualTo(ErrorCode.NOT_LEADER);

    second.log.applyAll();
    first.submit(500, group("g9", 1));
    second.log.applyAll();
    var caughtUp = ControlHost.accept(running, second.fetch(running));
    assertThat(caughtUp.follower().view().version()).isEqualTo(first.state.view().version());
    assertThat(first.submit(5, group("g1", 1)).getAnswer().getVerdict())
        .isEqualTo(TicketVerdict.CONFLICT);
  }

  private static ViewFollower follow(ControlHost host, ViewFollower from) {
    ViewFollower current = from;
    while (true) {
      var result = ControlHost.accept(current, host.fetch(current));
      if (result.reason() != ViewFollower.Reason.ADVANCED) {
        return result.follower();
      }
      current = result.follower();
    }
  }

  /** A proxy restarts after hundreds of changes: it starts from the leader's view, not its own. */
  @Test
  void restartedProxyStartsFromConfirmedSnapshotAndGoesOnByDeltas() {
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
   * After the restart of a control host its deltas are gone; a proxy that lags takes a snapshot.
   */
  @Test
  void restartedControlHostAnswersLaggingProxyWithSnapshot() {
    first.submitMany(20);
    ViewFollower old = follow(first, ViewFollower.EMPTY);
    first.submit(100, group("g1", 7));
    first.restart();

    var reply = first.fetch(old);

    assertThat(reply.hasSnapshot()).isTrue();
    assertThat(ControlHost.accept(old, reply).follower().view().version())
        .isEqualTo(first.state.view().version());
  }

  @Test
  void interestLeavesOutOtherGroupsAndTheirServers() {
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

  /** A server's host loses power: no announcement comes any more, and nobody says that it left. */
  @Test
  void serverWithoutAnnouncementsExpiresWithItsLease() {
    first.announce(announcement("s1", 1));
    pass(first, 1_400);
    assertThat(status(first)).isEqualTo(ServerStatus.ACTIVE);
    first.announce(announcement("s1", 1));
    long commands = log.lastIndex();
    pass(first, 1_400);
    assertThat(status(first)).isEqualTo(ServerStatus.ACTIVE);
    assertThat(log.lastIndex()).isEqualTo(commands);
    pass(first, 200);
    assertThat(status(first)).isEqualTo(ServerStatus.EXPIRED);

    first.announce(announcement("s1", 1));
    assertThat(status(first)).isEqualTo(ServerStatus.ACTIVE);
  }

  /**
   * A server says that it leaves, and is replaced under its name. Announcements of before, held
   * back by a partition, then arrive: work sent there would find a dead process.
   */
  @Test
  void lateAnnouncementsReviveNeitherLeavingServerNorEarlierIncarnation() {
    first.announce(announcement("s1", 5));
    first.announce(announcement("s1", 5).setLeaving(true));
    assertThat(first.announce(announcement("s1", 5)).getStaleServersList()).containsExactly("s1");
    assertThat(status(first)).isEqualTo(ServerStatus.LEAVING);

    first.announce(announcement("s1", 6));
    assertThat(first.announce(announcement("s1", 5)).getStaleServersList()).containsExactly("s1");
    pass(first, 1_600);
    assertThat(status(first)).isEqualTo(ServerStatus.EXPIRED);
    assertThat(first.announce(announcement("s1", 5)).getStaleServersList()).containsExactly("s1");
    assertThat(status(first)).isEqualTo(ServerStatus.EXPIRED);
  }

  /**
   * The leader dies just before a lease would end. Its successor has seen no renewal; ending the
   * lease at once would take a healthy server out of service. When the first leader leads again,
   * its table of before must not end leases either.
   */
  @Test
  void newLeaderGivesEveryLeaseFullPeriod() {
    first.announce(announcement("s1", 1));
    pass(first, 1_400);
    log.lead(second.log);
    pass(second, 1_400);
    assertThat(status(second)).isEqualTo(ServerStatus.ACTIVE);
    log.lead(first.log);
    pass(first, 1_400);
    assertThat(status(first)).isEqualTo(ServerStatus.ACTIVE);
    pass(first, 300);
    assertThat(status(first)).isEqualTo(ServerStatus.EXPIRED);
  }

  /**
   * Three proxies run; one acknowledges a ticket, one hangs, one shuts down. The operator sees the
   * hanging one in "N of M" until its lease ran out, and the one that left not at all.
   */
  @Test
  void ticketIsInForceOnHostsThatAcknowledgedOfThoseWithLease() {
    ViewFollower none = ViewFollower.EMPTY;
    for (String host : new String[] {"h1", "h2", "h3"}) {
      first.heartbeat(host, 1, none, false);
    }
    first.submit(1, group("g1", 2));
    ViewFollower running = follow(first, none);
    first.heartbeat("h3", 1, running, true);
    first.heartbeat("h1", 1, running, false);
    assertThat(inForce(1)).isEqualTo("1 of 2");

    pass(first, 2_000);
    first.heartbeat("h1", 1, running, false);
    pass(first, 1_100);
    assertThat(inForce(1)).isEqualTo("1 of 1");
    for (int second = 0; second < 8; second++) {
      first.heartbeat("h1", 1, running, false);
      pass(first, 1_000);
    }
    assertThat(first.state.view().hosts().keySet()).containsExactly(new HostId("h1"));
    assertThat(failure(() -> first.heartbeatOld("h1"))).isEqualTo(ErrorCode.PEER_REJECTED);
  }

  /** A proxy that was busy while 300 changes passed catches up with one answer. */
  @Test
  void laggingHostGetsAllDeltasInOneAnswer() {
    ViewFollower follower = follow(first, ViewFollower.EMPTY);
    first.submit(1, group("g1", 1));
    follower = follow(first, follower);
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
