package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.testkit.session.ModelServer.Ran;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerSessionTest {
  private final SessionFixture fixture = new SessionFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  private List<Ran> ran(String server) {
    return fixture.group.server(server).ran();
  }

  @Test
  void valuesAndPreparedNamesOfTwoSessionsNeverMixOnSharedConnection() {
    // Two callers prepare different statements under one name and set the same value differently.
    // Their statements share pooled connections in turn. A mixed value or shape would read or
    // write what the caller did not ask for.
    SessionFixture.Caller one = fixture.caller(SessionFixture.NEWEST);
    SessionFixture.Caller two = fixture.caller(SessionFixture.NEWEST);
    one.set("lang", "fr");
    two.set("lang", "br");
    one.prepare("p", StatementKind.READ, "shape-one");
    two.prepare("p", StatementKind.READ, "shape-two");

    for (int i = 0; i < 3; i++) {
      assertThat(one.execute("p", "a").succeeded()).isTrue();
      assertThat(two.execute("p", "a").succeeded()).isTrue();
    }

    List<Map<String, String>> values = ran("s1").stream().map(Ran::values).toList();
    assertThat(values)
        .containsExactly(
            Map.of("lang", "fr"),
            Map.of("lang", "br"),
            Map.of("lang", "fr"),
            Map.of("lang", "br"),
            Map.of("lang", "fr"),
            Map.of("lang", "br"))
        .inOrder();
    assertThat(ran("s1").stream().map(Ran::statement).distinct().count()).isEqualTo(2);
  }

  @Test
  void valueOfAnEarlierSessionIsGoneWhenTheNextOneUsesItsConnection() {
    // A caller sets a value and leaves. The next one, who set nothing, gets its connection and must
    // not run under the stranger's value.
    SessionFixture.Caller one = fixture.caller(SessionFixture.NEWEST);
    one.set("discount", "100");
    one.read("a");
    fixture.service.close(one.session);

    fixture.caller(SessionFixture.NEWEST).read("a");

    assertThat(ran("s1").get(1).values()).isEmpty();
    assertThat(ran("s1").get(1).connection()).isEqualTo(ran("s1").get(0).connection());
  }

  @Test
  void transactionRunsOnOneConnectionAndOthersKeepOffIt() {
    // A caller pauses inside its transaction; another caller's statement comes in the pause. On
    // the same connection it would be part of the stranger's transaction.
    SessionFixture.Caller one = fixture.caller(SessionFixture.NEWEST);
    one.begin();
    one.write("kit", "1");
    fixture.caller(SessionFixture.NEWEST).read("kit");
    one.write("kit", "2");
    assertThat(one.commit().succeeded()).isTrue();

    List<Ran> ran = ran("s1");
    assertThat(ran.get(0).connection()).isEqualTo(ran.get(2).connection());
    assertThat(ran.get(1).connection()).isNotEqualTo(ran.get(0).connection());
    assertThat(fixture.caller(SessionFixture.NEWEST).read("kit").rows()).containsExactly("2");
  }

  @Test
  void rolledBackTransactionKeepsNothingAndFreesItsConnection() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("kit", "1");
    assertThat(caller.rollback().state()).isEqualTo(TransactionState.NONE);

    assertThat(caller.read("kit").rows()).containsExactly("");
    assertThat(fixture.group.connectionCount()).isEqualTo(1);
  }

  @Test
  void writeWhoseAnswerIsLostIsInDoubtAndIsNotSentAgain() {
    // A packer closes a parcel; the server does it and its answer is lost. To be told "not run", or
    // to send it again, would close the parcel twice.
    fixture.group.server("s1").loseAnswers(1);

    SessionReply reply = fixture.caller(SessionFixture.NEWEST).write("parcel", "closed");

    assertThat(reply.refusedWith(RefusalCode.IN_DOUBT)).isTrue();
    assertThat(ran("s1")).hasSize(1);
  }

  @Test
  void commitWhoseAnswerIsLostIsInDoubt() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("parcel", "closed");
    fixture.group.server("s1").loseAnswers(1);

    SessionReply reply = caller.commit();

    assertThat(reply.refusedWith(RefusalCode.IN_DOUBT)).isTrue();
    assertThat(reply.state()).isEqualTo(TransactionState.NONE);
  }

  @Test
  void transactionThatLosesItsServerBeforeItsCommitKeepsNothingAndSaysSo() {
    // The primary dies under an open transaction. Its commit was never sent, so "nothing kept" is
    // true, and the caller may begin again at once.
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("kit", "1");
    fixture.group.server("s1").unreachable(true);

    SessionReply second = caller.write("kit", "2");
    assertThat(second.refusedWith(RefusalCode.ABORTED)).isTrue();
    assertThat(second.state()).isEqualTo(TransactionState.FAILED);
    assertThat(caller.read("kit").refusedWith(RefusalCode.MALFORMED)).isTrue();
    assertThat(caller.commit().refusedWith(RefusalCode.ABORTED)).isTrue();

    fixture.group.server("s1").unreachable(false);
    assertThat(caller.read("kit").rows()).containsExactly("");
  }

  @Test
  void idleTransactionIsEndedAndItsNextStatementIsTold() {
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
  void statementsThatDoNotFitTheStateAreRefused() {
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
  void unknownDatabaseIsRefusedAtTheOpening() {
    assertThat(fixture.service.refusal("nowhere").orElseThrow().code())
        .isEqualTo(RefusalCode.UNKNOWN_DATABASE);
    assertThat(fixture.service.refusal(SessionFixture.BOUNDED)).isEmpty();
  }
}
