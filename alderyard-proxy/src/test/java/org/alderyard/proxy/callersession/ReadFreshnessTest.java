package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.testkit.session.ModelServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReadFreshnessTest {
  private final SessionFixture fixture = new SessionFixture("z1");

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void callerReadsItsOwnWriteThoughItsReplicaLags() {
    // A coordinator moves a room and opens the calendar; the replica in her zone has not received
    // the move. Reading there would show the old room.
    SessionFixture.Caller caller = fixture.caller(SessionFixture.OWN_WRITES);
    caller.write("room", "old");
    fixture.group.replicate();
    caller.write("room", "new");

    assertThat(caller.read("room").rows()).containsExactly("new");
  }

  @Test
  void boundedReadGoesToTheReplicaThatHoldsTheSample() {
    SessionFixture.Caller writer = fixture.caller(SessionFixture.NEWEST);
    writer.write("room", "old");
    fixture.group.replicate();
    fixture.advance(SessionFixture.STALENESS_MILLIS / 2);

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").rows()).containsExactly("old");
    int onReplicas =
        fixture.group.server("s2").ran().size() + fixture.group.server("s3").ran().size();
    assertThat(onReplicas).isEqualTo(1);
  }

  @Test
  void newestReadIsNotAnsweredByReplacedPrimary() {
    // The primary was replaced, but the view does not say so yet. A read that stands alone is not
    // refused by the old primary, and would miss what the new one acknowledged.
    SessionFixture.Caller caller = fixture.caller(SessionFixture.NEWEST);
    caller.write("order", "1");
    fixture.group.replicate();
    fixture.group.promote("s2");
    SessionFixture.Caller other = fixture.caller(SessionFixture.NEWEST);
    assertThat(other.write("order", "2").succeeded()).isTrue();

    assertThat(caller.read("order").rows()).containsExactly("2");
  }

  @Test
  void sessionWhoseWriteWasLostWithItsPrimaryStillReads() {
    // A write was acknowledged and lost with its primary. No server will ever hold its position;
    // the session must not wait for it for ever.
    SessionFixture.Caller caller = fixture.caller(SessionFixture.OWN_WRITES);
    caller.write("room", "kept");
    fixture.group.replicate();
    caller.write("room", "lost");
    fixture.group.server("s1").unreachable(true);
    fixture.group.promote("s2");
    fixture.publish("s2", fixture.group.states());
    fixture.caller(SessionFixture.NEWEST).write("other", "x");

    assertThat(caller.read("room").rows()).containsExactly("kept");
  }

  @Test
  void readWithoutAnyWayToProveItsAgeIsRefusedAsNotRun() {
    // The primary is gone and there is no sample: no replica can show how old it is.
    fixture.group.server("s1").unreachable(true);

    assertThat(
            fixture
                .caller(SessionFixture.BOUNDED)
                .read("room")
                .refusal()
                .map(refusal -> refusal.code()))
        .hasValue(RefusalCode.BUSY);
  }

  @Test
  void readsOfHostThatHasJustStartedDoNotFloodThePrimary() {
    // All hosts lost power and came back. Callers who had waited read at once, no host had a
    // sample, and each read turned to the primary: it ran five at a time, the others waited for
    // half a second and were refused, while the replicas had nothing to do.
    ModelServer primary = fixture.group.server("s1");
    fixture.caller(SessionFixture.NEWEST).write("room", "1");
    fixture.group.replicate();
    SessionFixture restarted = new SessionFixture("z1", fixture.group);
    primary.hold();
    List<CompletableFuture<SessionReply>> answers = new ArrayList<>();
    for (int caller = 0; caller < 20; caller++) {
      answers.add(
          restarted
              .caller(SessionFixture.BOUNDED)
              .session
              .handle("r" + caller, new SessionStatement.Read("room")));
    }
    primary.letGo();
    answers.forEach(answer -> assertThat(answer.join().rows()).containsExactly("1"));

    // One write of before, and no read.
    assertThat(primary.ran()).hasSize(1);
    restarted.close();
  }

  @Test
  void sampleIsAskedElsewhereWhenTheBelievedPrimaryWasReplaced() {
    // The view lags behind a change of primary. Reads that wait for a sample get it from the next
    // server at once; before, each had to ask for itself.
    fixture.group.promote("s2");

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").succeeded()).isTrue();
    assertThat(fixture.group.server("s2").ran()).isEmpty();
  }

  @Test
  void sampleIsAskedOfEachServerOnceUntilOneLeads() {
    // The third server was appointed. The question went to the second one again and again, as it
    // stayed the most likely, and the reads that waited had to ask for themselves after all.
    fixture.group.promote("s3");

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").succeeded()).isTrue();
    assertThat(fixture.group.server("s3").ran()).isEmpty();
  }
}
