package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement.Write;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.start.StartLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StatementRunTest {
  final SessionFixture fixture = newFixture();

  /** Creates the host under test. */
  SessionFixture newFixture() {
    return new SessionFixture("z1");
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void busyPrimaryIsRetriedUntilItHasFreeSlot() {
    fixture.group.server("s1").refuseBusy(2);

    assertThat(fixture.caller(SessionFixture.NEWEST).write("a", "1").succeeded()).isTrue();
    assertThat(fixture.group.server("s1").ran()).hasSize(1);
  }

  @Test
  void writeIsRefusedAsNotRunWhenPrimaryStaysBusy() {
    fixture.group.server("s1").refuseBusy(10_000);

    SessionReply reply = fixture.caller(SessionFixture.NEWEST).write("a", "1");

    assertThat(reply.refusedWith(RefusalCode.BUSY)).isTrue();
    assertThat(fixture.group.server("s1").ran()).isEmpty();
  }

  @Test
  void readWhoseResponseIsLostRunsOnAnotherServer() {
    fixture.caller(SessionFixture.NEWEST).write("room", "old");
    fixture.group.replicate();
    fixture.advance(SessionFixture.STALENESS_MILLIS / 2);
    fixture.group.server("s2").loseResponses(1);

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").rows()).containsExactly("old");
  }

  @Test
  void readThatFailsOnOneServerRunsOnAnother() {
    // The health probe of a server succeeds while some of its statements fail. A read may run on
    // another server.
    fixture.caller(SessionFixture.NEWEST).write("room", "old");
    fixture.group.replicate();
    fixture.advance(SessionFixture.STALENESS_MILLIS / 2);
    fixture.group.server("s2").fail(1);

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").rows()).containsExactly("old");
  }

  /** Guards against a transaction that fails with its first read although nothing depends on it. */
  @Test
  void firstReadOfTransactionThatFailsRunsAgain() {
    fixture.caller(SessionFixture.NEWEST).write("room", "old");
    fixture.group.replicate();
    fixture.advance(SessionFixture.STALENESS_MILLIS / 2);
    fixture.group.server("s1").fail(1);
    var writing = fixture.caller(SessionFixture.NEWEST);
    writing.begin();

    assertThat(writing.read("room").rows()).containsExactly("old");
    assertThat(writing.write("room", "new").succeeded()).isTrue();
    assertThat(writing.commit().succeeded()).isTrue();
  }

  /** Guards against a second run of the first write of a transaction. */
  @Test
  void firstWriteOfTransactionThatFailsIsNotRepeated() {
    fixture.group.server("s1").fail(1);
    var writing = fixture.caller(SessionFixture.NEWEST);
    writing.begin();

    assertThat(writing.write("room", "new").refusedWith(RefusalCode.FAILED)).isTrue();
    assertThat(fixture.group.server("s1").ran()).hasSize(1);
  }

  /** Guards against a server that fails statements and is chosen for each read all the same. */
  @Test
  void serverThatFailsStatementsIsAvoidedByReads() {
    fixture.caller(SessionFixture.NEWEST).write("room", "old");
    fixture.group.replicate();
    fixture.advance(SessionFixture.STALENESS_MILLIS / 2);
    fixture.group.server("s2").fail(50);
    for (int i = 0; i < 20; i++) {
      fixture.caller(SessionFixture.BOUNDED).read("room");
    }
    assertThat(fixture.group.server("s2").ran().size()).isAtMost(3);
  }

  @Test
  void unresponsiveReplicaDelaysReadOnlyBriefly() {
    // A replica stops responding without closing its connections, which only a timeout detects. The
    // read is sent to a second server long before its own deadline.
    fixture.caller(SessionFixture.NEWEST).write("room", "old");
    fixture.group.replicate();
    fixture.advance(SessionFixture.STALENESS_MILLIS / 2);
    fixture.caller(SessionFixture.BOUNDED).read("room");
    fixture.group.server("s2").setUnresponsive(true);

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").rows()).containsExactly("old");
  }

  @Test
  void writeFindsNewPrimaryBeforeViewIsUpdated() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.write("a", "1");
    fixture.group.replicate();
    fixture.group.promote("s3");

    assertThat(caller.write("a", "2").succeeded()).isTrue();
    assertThat(fixture.group.server("s3").ran()).hasSize(1);
  }

  @Test
  void brokenConnectionToAvailablePrimaryDoesNotPauseWrites() {
    // Responses are occasionally lost with their connections. If each loss caused a backoff, writes
    // would pause although the primary is available.
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    fixture.group.server("s1").loseResponses(1);
    assertThat(caller.write("a", "1").refusedWith(RefusalCode.IN_DOUBT)).isTrue();

    long nowNanos = System.nanoTime();
    assertThat(caller.write("a", "2").succeeded()).isTrue();
    GroupRouting routing = new GroupRouting(new ZoneName("z1"), new StartLog());
    routing.responseLost(fixture.group.states().get(0), nowNanos);
    assertThat(routing.inBackoff(fixture.group.states().get(0), nowNanos)).isFalse();
  }

  // Guards against callers that wait for half of their timeout although no replica can be promoted.
  @Test
  void writeIsRefusedImmediatelyWhileNoReplicaCanBePromoted() {
    fixture.timeout(4_000);
    fixture.group.server("s1").setUnreachable(true);
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.write("a", "1");
    fixture.advance(2_500);
    GroupRoutings routings = fixture.context().routings();
    routings
        .blockedPromotions()
        .update(List.of(fixture.group.id()), fixture.context().clock().nowNanos());

    long startNanos = System.nanoTime();
    SessionReply reply = caller.write("a", "2");

    assertThat(reply.refusedWith(RefusalCode.BUSY)).isTrue();
    assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.SECONDS.toNanos(1));
    assertThat(fixture.group.server("s1").ran()).isEmpty();
  }

  @Test
  void blockedPromotionCountsForLimitedTime() {
    BlockedPromotions blocked = new BlockedPromotions();
    blocked.update(List.of(fixture.group.id()), 0);

    assertThat(blocked.contains(fixture.group.id(), TimeUnit.SECONDS.toNanos(1))).isTrue();
    assertThat(blocked.contains(fixture.group.id(), TimeUnit.SECONDS.toNanos(1) + 1)).isFalse();
    blocked.update(List.of(), 0);
    assertThat(blocked.contains(fixture.group.id(), 0)).isFalse();
  }

  @Test
  void writeNearItsDeadlineIsRefusedAsNotRun() throws Exception {
    // All connections were in use until shortly before the deadline of a write. Sending the write
    // then would leave its outcome unknown; refusing it lets the caller retry.
    StatementTask nearDeadline =
        new StatementTask(
            new ViewLookup(fixture.views.current().version(), System.nanoTime()),
            ConnectionOwner.NONE,
            SessionRequest.of("q", new Write("a", "1")),
            StatementKind.WRITE,
            false,
            Optional.empty(),
            fixture.views.current().configuration().orElseThrow().databases().get(0),
            Map.of(),
            System.nanoTime() + 1_000_000);

    SessionReply reply =
        new StatementRun(fixture.context(), nearDeadline, ServerRequirement.primary())
            .run()
            .get()
            .reply();

    assertThat(reply.refusedWith(RefusalCode.BUSY)).isTrue();
    assertThat(fixture.group.server("s1").ran()).isEmpty();
  }
}
