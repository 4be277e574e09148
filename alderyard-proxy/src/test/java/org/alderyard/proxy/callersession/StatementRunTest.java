package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement.Write;
import org.alderyard.common.id.ZoneName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StatementRunTest {
  private final SessionFixture fixture = new SessionFixture("z1");

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void busyPrimaryIsAskedAgainUntilItHasRoom() {
    fixture.group.server("s1").busy(2);

    assertThat(fixture.caller(SessionFixture.NEWEST).write("a", "1").succeeded()).isTrue();
    assertThat(fixture.group.server("s1").ran()).hasSize(1);
  }

  @Test
  void primaryThatStaysBusyIsGivenUpAndNothingRan() {
    fixture.group.server("s1").busy(10_000);

    SessionReply reply = fixture.caller(SessionFixture.NEWEST).write("a", "1");

    assertThat(reply.refusedWith(RefusalCode.BUSY)).isTrue();
    assertThat(fixture.group.server("s1").ran()).isEmpty();
  }

  @Test
  void readWhoseAnswerIsLostIsRunByAnotherServer() {
    fixture.caller(SessionFixture.NEWEST).write("room", "old");
    fixture.group.replicate();
    fixture.advance(SessionFixture.STALENESS_MILLIS / 2);
    fixture.group.server("s2").loseAnswers(1);

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").rows()).containsExactly("old");
  }

  @Test
  void readThatFailsOnOneServerIsRunByAnother() {
    // A server's health probe is good, and part of its statements fail. A read may run elsewhere.
    fixture.caller(SessionFixture.NEWEST).write("room", "old");
    fixture.group.replicate();
    fixture.advance(SessionFixture.STALENESS_MILLIS / 2);
    fixture.group.server("s2").fail(1);

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").rows()).containsExactly("old");
  }

  @Test
  void silentReplicaCostsReadShortWaitOnly() {
    // A replica stops answering without closing anything: only time tells. The read goes to a
    // second server long before its own time is over.
    fixture.caller(SessionFixture.NEWEST).write("room", "old");
    fixture.group.replicate();
    fixture.advance(SessionFixture.STALENESS_MILLIS / 2);
    fixture.caller(SessionFixture.BOUNDED).read("room");
    fixture.group.server("s2").silent(true);

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").rows()).containsExactly("old");
  }

  @Test
  void writeFindsTheNewPrimaryBeforeTheViewDoes() {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.write("a", "1");
    fixture.group.replicate();
    fixture.group.promote("s3");

    assertThat(caller.write("a", "2").succeeded()).isTrue();
    assertThat(fixture.group.server("s3").ran()).hasSize(1);
  }

  @Test
  void brokenConnectionToLivingPrimaryStopsNoWrites() {
    // Answers are lost with their connections now and then. If each made the host leave the
    // primary alone for a while, writes would stop though the primary is there.
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    fixture.group.server("s1").loseAnswers(1);
    assertThat(caller.write("a", "1").refusedWith(RefusalCode.IN_DOUBT)).isTrue();

    long before = System.nanoTime();
    assertThat(caller.write("a", "2").succeeded()).isTrue();
    GroupRouting routing = new GroupRouting(new ZoneName("z1"));
    routing.doubted(fixture.group.states().get(0), before);
    assertThat(routing.paused(fixture.group.states().get(0), before)).isFalse();
  }

  @Test
  void writeThatCouldOnlyBeginInItsLastMomentsIsRefusedAsNotRun() throws Exception {
    // All connections were in use until a write's time was nearly over. To send it then would
    // leave it in doubt; not to send it lets its caller try again.
    StatementTask late =
        new StatementTask(
            SessionRequest.of("q", new Write("a", "1")),
            StatementKind.WRITE,
            false,
            Optional.empty(),
            fixture.views.current().configuration().orElseThrow().databases().get(0),
            Map.of(),
            System.nanoTime() + 1_000_000);

    SessionReply reply =
        new StatementRun(fixture.parts(), late, ServerDemand.lead()).run().get().reply();

    assertThat(reply.refusedWith(RefusalCode.BUSY)).isTrue();
    assertThat(fixture.group.server("s1").ran()).isEmpty();
  }
}
