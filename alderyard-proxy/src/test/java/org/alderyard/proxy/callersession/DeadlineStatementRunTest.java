package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionStatement.Read;
import org.alderyard.backend.session.SessionStatement.Write;
import org.alderyard.proxy.admission.AdmissionMode;
import org.junit.jupiter.api.Test;

/** Runs the tests of {@link StatementRun} with deadline-based admission, and tests its refusals. */
class DeadlineStatementRunTest extends StatementRunTest {
  private static final List<String> SERVERS = List.of("s1", "s2", "s3");

  @Override
  SessionFixture newFixture() {
    return new SessionFixture(AdmissionMode.DEADLINE);
  }

  private void writeOneRow() {
    fixture.caller(SessionFixture.NEWEST).write("room", "old");
    fixture.group.replicate();
    fixture.advance(SessionFixture.STALENESS_MILLIS / 2);
  }

  /** Load: many statements meet a stuck primary. Most are refused at once, as none has run. */
  @Test
  void statementsThatCannotBeServedInTimeAreRefusedAtOnce() throws Exception {
    SessionFixture.Caller first = fixture.caller(SessionFixture.NEWEST);
    first.write("a", "0");
    fixture.group.server("s1").holdResponses();
    List<CompletableFuture<SessionReply>> replies = new ArrayList<>();
    for (int i = 0; i < 90; i++) {
      CallerSession session = fixture.caller(SessionFixture.NEWEST).session;
      replies.add(session.handle("w" + i, new Write("a", "1")));
    }

    List<SessionReply> refusedAtOnce =
        replies.stream().filter(CompletableFuture::isDone).map(CompletableFuture::join).toList();
    assertThat(refusedAtOnce.size()).isAtLeast(20);
    assertThat(refusedAtOnce.stream().allMatch(reply -> reply.refusedWith(RefusalCode.BUSY)))
        .isTrue();
    assertThat(
            refusedAtOnce.stream()
                .allMatch(
                    reply -> reply.refusal().orElseThrow().text().matches(".*retry after \\d+ ms")))
        .isTrue();
    // The stuck primary ran only what got one of its two slots.
    assertThat(fixture.group.server("s1").ran().size()).isAtMost(3);
    fixture.group.server("s1").releaseResponses();
    for (CompletableFuture<SessionReply> reply : replies) {
      reply.get(5, TimeUnit.SECONDS);
    }
  }

  /** Guards against a BUSY for a read that a server may have run: BUSY says that nothing ran. */
  @Test
  void readThatMayHaveRunIsNotRefusedAsNotRun() {
    writeOneRow();
    for (String server : SERVERS) {
      fixture.group.server(server).loseResponses(100);
    }

    SessionReply reply = fixture.caller(SessionFixture.BOUNDED).read("room");

    assertThat(reply.succeeded()).isFalse();
    assertThat(reply.refusedWith(RefusalCode.BUSY)).isFalse();
  }

  /** Guards against a read that ends with a lost reply although its hedge is still in flight. */
  @Test
  void lostReplyDoesNotEndReadWhoseOtherAttemptIsInFlight() throws Exception {
    writeOneRow();
    while (fixture.context().admission().tryResend()) {
      // Leaves no budget for a third attempt; the hedge takes what the statements below add.
    }
    for (int i = 0; i < 10; i++) {
      fixture.caller(SessionFixture.BOUNDED).read("room");
    }
    SERVERS.forEach(server -> fixture.group.server(server).holdResponses());
    final CompletableFuture<SessionReply> reply =
        fixture.caller(SessionFixture.BOUNDED).session.handle("held", new Read("room"));
    awaitHeldReads(1);
    SERVERS.stream()
        .filter(server -> heldReads(server) == 0)
        .forEach(server -> fixture.group.server(server).loseResponses(1));
    awaitHeldReads(2);

    SERVERS.forEach(server -> fixture.group.server(server).releaseResponses());

    assertThat(reply.get(5, TimeUnit.SECONDS).rows()).containsExactly("old");
  }

  private void awaitHeldReads(int count) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (SERVERS.stream().mapToLong(this::heldReads).sum() < count
        && System.nanoTime() < endNanos) {
      Thread.sleep(5);
    }
    assertThat(SERVERS.stream().mapToLong(this::heldReads).sum()).isEqualTo(count);
  }

  private long heldReads(String server) {
    return fixture.group.server(server).ran().stream()
        .filter(ran -> ran.id().filter("held"::equals).isPresent())
        .count();
  }

  /** Load: every server fails its statements. Guards against a fleet that doubles the load. */
  @Test
  void failedReadsAreRepeatedWithinBudget() {
    writeOneRow();
    for (String server : SERVERS) {
      fixture.group.server(server).fail(1_000);
    }
    int before = statementsRun();
    for (int i = 0; i < 60; i++) {
      fixture.caller(SessionFixture.BOUNDED).read("room");
    }

    // The budget starts with 10 resends and gets one for every ten statements.
    assertThat(statementsRun() - before).isAtMost(60 + 10 + 7);
  }

  private int statementsRun() {
    return SERVERS.stream().mapToInt(server -> fixture.group.server(server).ran().size()).sum();
  }
}
