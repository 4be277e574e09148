package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.backend.session.RefusalCode;
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
}
