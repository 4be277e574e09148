package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.view.OrganisationQuota;
import org.alderyard.common.view.OrganisationState;
import org.alderyard.proxy.callersession.SessionFixture.Caller;
import org.alderyard.proxy.quota.QuotaDecision;
import org.alderyard.testkit.session.ModelServer.RanStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OrganisationSessionTest {
  private final SessionFixture host = new SessionFixture();

  @AfterEach
  void close() {
    host.close();
  }

  private static RefusalCode code(SessionReply reply) {
    return reply.refusal().orElseThrow().code();
  }

  private List<String> owners() {
    return host.group.server("s1").ran().stream()
        .map(statement -> statement.owner().organisation())
        .toList();
  }

  /** A connection of another organisation is idle when a statement needs one. */
  @Test
  void statementsNeverRunOnConnectionOfAnotherOrganisation() {
    host.organisations(
        SessionFixture.organisation("a", "key-a"), SessionFixture.organisation("b", "key-b"));
    Caller first = host.caller(SessionFixture.NEWEST, "key-a");
    Caller second = host.caller(SessionFixture.NEWEST, "key-b");

    assertThat(first.write("x", "1").succeeded()).isTrue();
    assertThat(second.write("x", "2").succeeded()).isTrue();
    assertThat(first.write("x", "3").succeeded()).isTrue();

    assertThat(owners()).containsExactly("a", "b", "a").inOrder();
    List<Integer> connections =
        host.group.server("s1").ran().stream().map(RanStatement::connection).toList();
    assertThat(connections.get(0)).isEqualTo(connections.get(2));
    assertThat(connections.get(1)).isNotEqualTo(connections.get(0));
  }

  @Test
  void unknownKeyIsRefusedAtOnce() {
    host.organisations(SessionFixture.organisation("a", "key-a"));

    assertThat(
            host.service
                .refusal(SessionFixture.NEWEST, SessionFixture.identity("other"))
                .orElseThrow()
                .code())
        .isEqualTo(RefusalCode.UNAUTHORIZED);
    assertThat(code(host.caller(SessionFixture.NEWEST, "other").write("x", "1")))
        .isEqualTo(RefusalCode.UNAUTHORIZED);
    assertThat(host.group.server("s1").ran()).isEmpty();
  }

  /** A host without a confirmed view may not have the key yet; the caller retries elsewhere. */
  @Test
  void unknownKeyIsNotRejectedForGoodByHostWithUnconfirmedView() {
    host.organisations(SessionFixture.organisation("a", "key-a"));
    host.viewConfirmed = false;

    assertThat(
            host.service
                .refusal(SessionFixture.NEWEST, SessionFixture.identity("other"))
                .orElseThrow()
                .code())
        .isEqualTo(RefusalCode.BUSY);
  }

  /** An open session must not outlive the rights of its key. */
  @Test
  void removedKeyEndsRightsOfOpenSession() {
    host.organisations(SessionFixture.organisation("a", "old", "new"));
    Caller caller = host.caller(SessionFixture.NEWEST, "old");
    assertThat(caller.write("x", "1").succeeded()).isTrue();

    host.organisations(SessionFixture.organisation("a", "new"));

    assertThat(code(caller.write("x", "2"))).isEqualTo(RefusalCode.UNAUTHORIZED);
    assertThat(code(caller.begin())).isEqualTo(RefusalCode.UNAUTHORIZED);
    assertThat(host.caller(SessionFixture.NEWEST, "new").write("x", "3").succeeded()).isTrue();
    assertThat(owners()).hasSize(2);
  }

  /** A transaction that was open when its key was removed must not commit. */
  @Test
  void removedKeyEndsOpenTransaction() {
    host.organisations(SessionFixture.organisation("a", "old"));
    Caller writer = host.caller(SessionFixture.NEWEST, "old");
    Caller committer = host.caller(SessionFixture.NEWEST, "old");
    writer.begin();
    writer.write("x", "1");
    committer.begin();
    committer.write("y", "1");

    host.organisations(SessionFixture.organisation("a", "new"));

    SessionReply refused = writer.write("x", "2");
    assertThat(code(refused)).isEqualTo(RefusalCode.UNAUTHORIZED);
    assertThat(refused.state()).isEqualTo(TransactionState.FAILED);
    assertThat(code(committer.commit())).isEqualTo(RefusalCode.ABORTED);
    Caller reader = host.caller(SessionFixture.NEWEST, "new");
    assertThat(reader.read("x").rows()).containsExactly("");
    assertThat(reader.read("y").rows()).containsExactly("");
  }

  /** A key that moves to another organisation must not continue the transaction of the first. */
  @Test
  void movedKeyEndsOpenTransaction() {
    host.organisations(SessionFixture.organisation("a", "key"), SessionFixture.organisation("b"));
    Caller caller = host.caller(SessionFixture.NEWEST, "key");
    caller.begin();
    caller.write("x", "1");

    host.organisations(SessionFixture.organisation("a"), SessionFixture.organisation("b", "key"));

    assertThat(code(caller.commit())).isEqualTo(RefusalCode.ABORTED);
    assertThat(caller.write("x", "2").succeeded()).isTrue();
    assertThat(owners()).containsExactly("a", "b").inOrder();
  }

  /** Nothing of a refused operation may run, and the session stays usable. */
  @Test
  void operationOverLimitIsRefusedBeforeItRuns() {
    OrganisationState limited =
        new OrganisationState(
            "a",
            SessionFixture.organisation("a", "key-a").keyDigests(),
            1,
            java.util.Optional.of(new OrganisationQuota(1, 1)));
    host.organisations(limited);
    QuotaDecision over = new QuotaDecision(QuotaDecision.Verdict.OVER_LIMIT, 40);
    host.service.limitOperations(
        (organisation, maxWaitMillis) -> CompletableFuture.completedFuture(over));
    Caller caller = host.caller(SessionFixture.NEWEST, "key-a");

    SessionReply write = caller.write("x", "1");
    caller.begin();
    SessionReply first = caller.write("x", "1");

    assertThat(code(write)).isEqualTo(RefusalCode.OVER_QUOTA);
    assertThat(write.state()).isEqualTo(TransactionState.NONE);
    assertThat(write.refusal().orElseThrow().text()).contains("retry after 40 ms");
    assertThat(code(first)).isEqualTo(RefusalCode.OVER_QUOTA);
    assertThat(first.state()).isEqualTo(TransactionState.FAILED);
    assertThat(caller.rollback().state()).isEqualTo(TransactionState.NONE);
    assertThat(host.group.server("s1").ran()).isEmpty();
  }
}
