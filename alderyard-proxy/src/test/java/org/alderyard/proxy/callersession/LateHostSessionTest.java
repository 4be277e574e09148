package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.backend.session.SessionStatement.Commit;
import org.alderyard.backend.session.SessionStatement.Write;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against operations that a host which ran late begins by the view from before, although the
 * database or the key was removed meanwhile.
 */
class LateHostSessionTest {
  private static final SessionStatement WRITE = new Write("x", "1");

  private final SessionFixture host = new SessionFixture();
  private CompletableFuture<Boolean> settled = new CompletableFuture<>();

  @BeforeEach
  void configure() {
    host.organisations(SessionFixture.organisation("a", "key", "taken"));
    host.addDatabase("dropped");
    host.service.holdOperations(() -> settled);
    host.viewConfirmed = false;
  }

  @AfterEach
  void close() {
    host.close();
  }

  private void dropDatabase() {
    host.removeDatabase("dropped");
    settle();
  }

  private void takeKey() {
    host.organisations(SessionFixture.organisation("a", "key"));
    settle();
  }

  private void settle() {
    host.viewConfirmed = true;
    settled.complete(true);
  }

  private static SessionReply await(CompletableFuture<SessionReply> reply) throws Exception {
    return reply.get(5, TimeUnit.SECONDS);
  }

  @Test
  void statementOnDroppedDatabaseDoesNotRun() throws Exception {
    CompletableFuture<SessionReply> reply = host.caller("dropped", "key").send(WRITE);
    dropDatabase();

    assertThat(await(reply).refusedWith(RefusalCode.UNKNOWN_DATABASE)).isTrue();
    assertThat(host.group.server("s1").ran()).isEmpty();
  }

  @Test
  void transactionOnDroppedDatabaseDoesNotBegin() throws Exception {
    CompletableFuture<SessionReply> reply = host.caller("dropped", "key").send(new Begin(false));
    dropDatabase();

    assertThat(await(reply).refusedWith(RefusalCode.UNKNOWN_DATABASE)).isTrue();
  }

  @Test
  void statementWithTakenKeyDoesNotRun() throws Exception {
    CompletableFuture<SessionReply> reply = host.caller("dropped", "taken").send(WRITE);
    takeKey();

    assertThat(await(reply).refusedWith(RefusalCode.UNAUTHORIZED)).isTrue();
    assertThat(host.group.server("s1").ran()).isEmpty();
  }

  @Test
  void sessionOnDroppedDatabaseDoesNotOpen() throws Exception {
    CompletableFuture<Optional<Refusal>> refusal =
        host.service.admission("dropped", SessionFixture.identity("key"));
    dropDatabase();

    assertThat(refusal.get(5, TimeUnit.SECONDS).map(Refusal::code))
        .hasValue(RefusalCode.UNKNOWN_DATABASE);
  }

  private SessionFixture.Caller transactionOfTakenKey() {
    settle();
    SessionFixture.Caller caller = host.caller(SessionFixture.NEWEST, "taken");
    assertThat(caller.begin().succeeded()).isTrue();
    assertThat(caller.write("x", "1").succeeded()).isTrue();
    settled = new CompletableFuture<>();
    host.viewConfirmed = false;
    return caller;
  }

  @Test
  void statementOfTransactionWithTakenKeyDoesNotRun() throws Exception {
    CompletableFuture<SessionReply> reply = transactionOfTakenKey().send(new Write("y", "1"));
    takeKey();

    assertThat(await(reply).refusedWith(RefusalCode.UNAUTHORIZED)).isTrue();
    assertThat(host.group.server("s1").ran()).hasSize(1);
  }

  @Test
  void transactionWithTakenKeyDoesNotCommit() throws Exception {
    CompletableFuture<SessionReply> reply = transactionOfTakenKey().send(new Commit());
    takeKey();

    assertThat(await(reply).refusedWith(RefusalCode.ABORTED)).isTrue();
    assertThat(host.caller(SessionFixture.NEWEST, "key").read("x").rows()).doesNotContain("1");
  }

  @Test
  void operationIsRefusedWithoutEffectIfNothingBecomesKnown() throws Exception {
    CompletableFuture<SessionReply> reply = host.caller("dropped", "key").send(WRITE);
    settled.complete(false);

    assertThat(await(reply).refusedWith(RefusalCode.BUSY)).isTrue();
    assertThat(host.group.server("s1").ran()).isEmpty();
  }

  @Test
  void operationRunsOnceViewIsConfirmed() throws Exception {
    CompletableFuture<SessionReply> reply = host.caller("dropped", "key").send(WRITE);
    assertThat(reply.isDone()).isFalse();
    settle();

    assertThat(await(reply).succeeded()).isTrue();
  }
}
