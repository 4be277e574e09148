package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Read;
import org.alderyard.backend.session.SessionStatement.Write;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Verifies that a refusal of one statement also holds back concurrent statements. */
class SharedRefusalsTest {
  private static final int STATEMENTS = 40;

  /** Long enough that no statement gives up while a slow machine starts all of them. */
  private static final int LONG_TIMEOUT_MILLIS = 20_000;

  private final SessionFixture fixture = new SessionFixture("z1");

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void replicasAreNotRetriedAsPrimaryWhilePrimaryIsUnreachable() {
    // A primary is unreachable for longer than statements wait. Each statement asked both replicas
    // in each of its search rounds, although the first reply had already shown that neither is the
    // primary.
    fixture.group.server("s1").setUnreachable(true);

    List<SessionReply> replies = runAll(SessionFixture.NEWEST, new Read("a"));

    assertThat(replies.stream().filter(reply -> reply.refusedWith(RefusalCode.BUSY)).count())
        .isEqualTo(STATEMENTS);
    assertThat(refusalCount(RefusalCode.NOT_PRIMARY)).isAtMost(STATEMENTS);
  }

  @Test
  void replicaThatLacksPositionIsRetriedByOneStatementAtTime() {
    // Replicas lag and the primary has no free slot. All reads repeatedly asked the replicas for a
    // position that the replicas had just reported as missing.
    fixture.caller(SessionFixture.NEWEST).write("a", "1");
    fixture.group.server("s1").refuseBusy(Integer.MAX_VALUE);

    runAll(SessionFixture.BOUNDED, new Read("a"));

    assertThat(refusalCount(RefusalCode.BEHIND)).isAtMost(3 * STATEMENTS);
  }

  @Test
  void readsRunOnceReplicaHoldsTheMissingPosition() throws Exception {
    fixture.timeout(LONG_TIMEOUT_MILLIS);
    fixture.caller(SessionFixture.NEWEST).write("a", "1");
    fixture.group.server("s1").refuseBusy(Integer.MAX_VALUE);
    List<CompletableFuture<SessionReply>> replies = startAll(SessionFixture.BOUNDED, new Read("a"));
    TimeUnit.MILLISECONDS.sleep(100);
    fixture.group.replicate();

    for (CompletableFuture<SessionReply> reply : replies) {
      assertThat(reply.get(5, TimeUnit.SECONDS).rows()).containsExactly("1");
    }
  }

  @Test
  void primaryWithoutFreeSlotIsRetriedByOneStatementAtTime() {
    // A primary with few slots serves many hosts. Each statement of each host retried after its own
    // backoff, and the primary spent most of its time on refusals.
    fixture.group.server("s1").refuseBusy(Integer.MAX_VALUE);

    List<SessionReply> replies = runAll(SessionFixture.NEWEST, new Write("a", "1"));

    assertThat(replies.stream().allMatch(reply -> reply.refusedWith(RefusalCode.BUSY))).isTrue();
    assertThat(refusalCount(RefusalCode.BUSY)).isAtMost(2 * STATEMENTS);
    assertThat(fixture.group.server("s1").ran()).isEmpty();
  }

  @Test
  void queuedWritesRunOncePrimaryHasFreeSlot() throws Exception {
    fixture.timeout(LONG_TIMEOUT_MILLIS);
    fixture.group.server("s1").refuseBusy(Integer.MAX_VALUE);
    List<CompletableFuture<SessionReply>> replies =
        startAll(SessionFixture.NEWEST, new Write("a", "1"));
    TimeUnit.MILLISECONDS.sleep(100);
    fixture.group.server("s1").refuseBusy(0);

    for (CompletableFuture<SessionReply> reply : replies) {
      assertThat(reply.get(5, TimeUnit.SECONDS).succeeded()).isTrue();
    }
  }

  private int refusalCount(RefusalCode code) {
    return fixture.group.states().stream()
        .mapToInt(server -> fixture.group.server(server.id().value()).refusals(code))
        .sum();
  }

  private List<CompletableFuture<SessionReply>> startAll(
      String database, SessionStatement statement) {
    List<CompletableFuture<SessionReply>> replies = new ArrayList<>();
    for (int i = 0; i < STATEMENTS; i++) {
      replies.add(fixture.caller(database).session.handle("r" + i, statement));
    }
    return replies;
  }

  private List<SessionReply> runAll(String database, SessionStatement statement) {
    return startAll(database, statement).stream()
        .map(reply -> reply.orTimeout(5, TimeUnit.SECONDS).join())
        .toList();
  }
}
