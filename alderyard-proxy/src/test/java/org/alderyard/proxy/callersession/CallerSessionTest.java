package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.testkit.session.ModelServer.RanStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerSessionTest {
  private final SessionFixture fixture = new SessionFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  private List<RanStatement> statementsRun(String server) {
    return fixture.group.server(server).ran();
  }

  @Test
  void valuesAndPreparedStatementsAreSeparateOnSharedConnection() {
    // Two callers prepare different statements under the same name and set the same value
    // differently, and their statements alternate on a shared pooled connection. If the values or
    // statements were mixed up, a statement would read or write the wrong data.
    SessionFixture.Caller first = fixture.caller(SessionFixture.NEWEST);
    SessionFixture.Caller second = fixture.caller(SessionFixture.NEWEST);
    first.set("lang", "fr");
    second.set("lang", "br");
    first.prepare("p", StatementKind.READ, "shape-one");
    second.prepare("p", StatementKind.READ, "shape-two");

    for (int i = 0; i < 3; i++) {
      assertThat(first.execute("p", "a").succeeded()).isTrue();
      assertThat(second.execute("p", "a").succeeded()).isTrue();
    }

    List<Map<String, String>> values =
        statementsRun("s1").stream().map(RanStatement::values).toList();
    assertThat(values)
        .containsExactly(
            Map.of("lang", "fr"),
            Map.of("lang", "br"),
            Map.of("lang", "fr"),
            Map.of("lang", "br"),
            Map.of("lang", "fr"),
            Map.of("lang", "br"))
        .inOrder();
    assertThat(statementsRun("s1").stream().map(RanStatement::statement).distinct().count())
        .isEqualTo(2);
  }

  @Test
  void valueOfEarlierSessionIsResetBeforeConnectionIsReused() {
    // A caller sets a value and disconnects. The next caller gets the same connection and must not
    // run with that value.
    SessionFixture.Caller first = fixture.caller(SessionFixture.NEWEST);
    first.set("discount", "100");
    first.read("a");
    fixture.service.close(first.session);

    fixture.caller(SessionFixture.NEWEST).read("a");

    assertThat(statementsRun("s1").get(1).values()).isEmpty();
    assertThat(statementsRun("s1").get(1).connection())
        .isEqualTo(statementsRun("s1").get(0).connection());
  }

  private static void assertRefused(SessionReply reply, RefusalCode code) {
    assertThat(reply.refusedWith(code)).isTrue();
  }

  private void promote(String server) {
    fixture.group.replicate();
    fixture.group.promote(server);
    fixture.publish(server, fixture.group.states());
  }

  // Guards against reads with an old value after a server refused its change within a transaction.
  @Test
  void valueThatServerRefusedInTransactionIsSetBeforeNextStatement() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.BOUNDED);
    caller.set("colour", "red");
    caller.begin();
    caller.write("kit", "1");
    promote("s2");
    caller.set("colour", "blue");
    caller.read("kit");
    caller.rollback();
    int before = statementsRun("s1").size();

    for (int i = 0; i < 6; i++) {
      assertThat(caller.read("kit").succeeded()).isTrue();
    }

    List<RanStatement> ran = statementsRun("s1");
    assertThat(ran.size()).isGreaterThan(before);
    for (RanStatement statement : ran.subList(before, ran.size())) {
      assertThat(statement.values()).containsExactly("colour", "blue");
    }
    assertThat(fixture.group.server("s1").refusals(RefusalCode.NOT_PRIMARY)).isEqualTo(1);
  }

  // Guards against a commit that is reported as successful though its transaction had failed.
  @Test
  void commitBehindRefusedValueIsRefused() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("kit", "1");
    promote("s2");
    caller.set("colour", "blue");

    SessionReply commit = caller.commit();

    assertRefused(commit, RefusalCode.NOT_PRIMARY);
    assertThat(commit.state()).isEqualTo(TransactionState.NONE);
    assertThat(caller.read("kit").rows()).containsExactly("");
  }

  // Guards against a prepared statement that is unknown after a server refused to prepare it.
  @Test
  void statementThatServerRefusedToPrepareIsPreparedInNextTransaction() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.prepare("p", StatementKind.READ, "shape");
    caller.begin();
    caller.write("kit", "1");
    promote("s2");
    assertRefused(caller.execute("p", "kit"), RefusalCode.NOT_PRIMARY);
    caller.rollback();
    promote("s1");
    caller.begin();
    caller.write("kit", "2");

    assertThat(caller.execute("p", "kit").rows()).containsExactly("2");
    assertThat(caller.commit().succeeded()).isTrue();
    assertThat(fixture.group.server("s1").refusals(RefusalCode.NOT_PREPARED)).isEqualTo(0);
  }

  // Guards against reads with an old value on servers whose rollback takes back a change of it.
  @Test
  void valueOfRolledBackTransactionIsSetBeforeNextStatement() {
    fixture.group.server("s1").setRollbackRestoresVariables(true);
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.set("colour", "red");
    caller.begin();
    caller.write("kit", "1");
    caller.set("colour", "blue");
    caller.read("kit");
    caller.rollback();

    caller.read("kit");

    List<RanStatement> ran = statementsRun("s1");
    assertThat(ran.get(ran.size() - 1).values()).containsExactly("colour", "blue");
    assertThat(fixture.group.connectionCount()).isEqualTo(1);
  }

  // Guards against a prepared statement that is unknown after a rollback has taken it back.
  @Test
  void statementPreparedInRolledBackTransactionIsPreparedAgain() {
    fixture.group.server("s1").setRollbackRestoresVariables(true);
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("kit", "1");
    caller.prepare("p", StatementKind.READ, "shape");
    caller.execute("p", "kit");
    caller.rollback();
    caller.begin();
    caller.write("kit", "2");

    assertThat(caller.execute("p", "kit").rows()).containsExactly("2");
    assertThat(fixture.group.server("s1").refusals(RefusalCode.NOT_PREPARED)).isEqualTo(0);
  }

  // Guards against an unknown name although its preparing was acknowledged.
  @Test
  void statementThatServerLosesEachTimeIsAborted() {
    fixture.group.server("s1").losePreparedStatements(100);
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.prepare("p", StatementKind.READ, "shape");

    assertRefused(caller.execute("p", "kit"), RefusalCode.ABORTED);
    caller.begin();
    assertRefused(caller.execute("p", "kit"), RefusalCode.ABORTED);
    caller.rollback();
    fixture.group.server("s1").losePreparedStatements(0);
    assertThat(caller.execute("p", "kit").succeeded()).isTrue();
  }

  @Test
  void transactionRunsOnOneConnectionThatOtherSessionsDoNotUse() {
    // Another caller's statement arrives while a transaction is open. On the same connection the
    // statement would become part of that transaction.
    SessionFixture.Caller first = fixture.caller(SessionFixture.NEWEST);
    first.begin();
    first.write("kit", "1");
    fixture.caller(SessionFixture.NEWEST).read("kit");
    first.write("kit", "2");
    assertThat(first.commit().succeeded()).isTrue();

    List<RanStatement> ran = statementsRun("s1");
    assertThat(ran.get(0).connection()).isEqualTo(ran.get(2).connection());
    assertThat(ran.get(1).connection()).isNotEqualTo(ran.get(0).connection());
    assertThat(fixture.caller(SessionFixture.NEWEST).read("kit").rows()).containsExactly("2");
  }

  @Test
  void rollbackDiscardsWritesAndReleasesConnection() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("kit", "1");
    assertThat(caller.rollback().state()).isEqualTo(TransactionState.NONE);

    assertThat(caller.read("kit").rows()).containsExactly("");
    assertThat(fixture.group.connectionCount()).isEqualTo(1);
  }

  @Test
  void writeWithLostReplyIsInDoubtAndIsNotResent() {
    // The server runs a write and the reply is lost. Reporting the write as not run, or sending it
    // again, would let it run twice.
    fixture.group.server("s1").loseResponses(1);

    SessionReply reply = fixture.caller(SessionFixture.NEWEST).write("parcel", "closed");

    assertThat(reply.refusedWith(RefusalCode.IN_DOUBT)).isTrue();
    assertThat(statementsRun("s1")).hasSize(1);
  }

  @Test
  void commitWithLostReplyIsInDoubt() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("parcel", "closed");
    fixture.group.server("s1").loseResponses(1);

    SessionReply reply = caller.commit();

    assertThat(reply.refusedWith(RefusalCode.IN_DOUBT)).isTrue();
    assertThat(reply.state()).isEqualTo(TransactionState.NONE);
  }

  @Test
  void transactionIsAbortedIfServerFailsBeforeCommit() {
    // The primary fails during an open transaction. The commit was never sent, so that the
    // transaction is known to be rolled back and the caller may begin another one immediately.
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("kit", "1");
    fixture.group.server("s1").setUnreachable(true);

    SessionReply reply = caller.write("kit", "2");
    assertThat(reply.refusedWith(RefusalCode.ABORTED)).isTrue();
    assertThat(reply.state()).isEqualTo(TransactionState.FAILED);
    assertThat(caller.read("kit").refusedWith(RefusalCode.MALFORMED)).isTrue();
    assertThat(caller.commit().refusedWith(RefusalCode.ABORTED)).isTrue();

    fixture.group.server("s1").setUnreachable(false);
    assertThat(caller.read("kit").rows()).containsExactly("");
  }

  @Test
  void idleTransactionIsRolledBackAndItsNextStatementIsRefused() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("kit", "1");
    long later = System.nanoTime() + 2L * SessionFixture.IDLE_MILLIS * 1_000_000;
    caller.session.endIdleTransaction(later);

    SessionReply commit = caller.commit();

    assertThat(commit.refusedWith(RefusalCode.ABORTED)).isTrue();
    assertThat(commit.state()).isEqualTo(TransactionState.NONE);
    assertThat(caller.read("kit").rows()).containsExactly("");
  }

  @Test
  void statementsThatAreInvalidInTheCurrentStateAreRefused() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    assertThat(caller.commit().refusedWith(RefusalCode.MALFORMED)).isTrue();
    assertThat(caller.rollback().refusedWith(RefusalCode.MALFORMED)).isTrue();
    assertThat(caller.execute("none", "a").refusedWith(RefusalCode.NOT_PREPARED)).isTrue();
    caller.beginRead();
    assertThat(caller.write("a", "b").refusedWith(RefusalCode.NOT_PRIMARY)).isTrue();
    assertThat(caller.rollback().succeeded()).isTrue();
    assertThat(caller.read("a").succeeded()).isTrue();
  }

  @Test
  void unknownDatabaseIsRefusedWhenSessionIsOpened() {
    assertThat(fixture.service.refusal("nowhere", CallerIdentity.ANONYMOUS).orElseThrow().code())
        .isEqualTo(RefusalCode.UNKNOWN_DATABASE);
    assertThat(fixture.service.refusal(SessionFixture.BOUNDED, CallerIdentity.ANONYMOUS)).isEmpty();
  }
}
