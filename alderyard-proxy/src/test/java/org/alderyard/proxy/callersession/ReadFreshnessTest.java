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
  void callerReadsItsOwnWriteWhenReplicaLags() {
    // The replica in the caller's zone has not yet received the caller's last write. A read there
    // would return the old room.
    SessionFixture.Caller caller = fixture.caller(SessionFixture.OWN_WRITES);
    caller.write("room", "old");
    fixture.group.replicate();
    caller.write("room", "new");

    assertThat(caller.read("room").rows()).containsExactly("new");
  }

  @Test
  void boundedReadRunsOnReplicaThatHoldsTheSample() {
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
  void newestReadDoesNotRunOnReplacedPrimary() {
    // The primary has been replaced, but the view does not show it yet. The old primary does not
    // refuse a standalone read, which would miss writes that the new primary acknowledged.
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
    // An acknowledged write was lost with its primary. No server will ever hold its position, so
    // the session must not wait for that position forever.
    SessionFixture.Caller caller = fixture.caller(SessionFixture.OWN_WRITES);
    caller.write("room", "kept");
    fixture.group.replicate();
    caller.write("room", "lost");
    fixture.group.server("s1").setUnreachable(true);
    fixture.group.promote("s2");
    fixture.publish("s2", fixture.group.states());
    fixture.caller(SessionFixture.NEWEST).write("other", "x");

    assertThat(caller.read("room").rows()).containsExactly("kept");
  }

  @Test
  void readWithoutProvableStalenessIsRefusedAsNotRun() {
    // The primary is unreachable and there is no sample, so no replica can prove that it is recent
    // enough.
    fixture.group.server("s1").setUnreachable(true);

    assertThat(
            fixture
                .caller(SessionFixture.BOUNDED)
                .read("room")
                .refusal()
                .map(refusal -> refusal.code()))
        .hasValue(RefusalCode.BUSY);
  }

  @Test
  void readsOfNewlyStartedHostDoNotOverloadPrimary() {
    // All hosts restart after a power failure and have no sample when waiting callers read. Each
    // read went to the primary, which ran five at a time; the others waited for half a second and
    // were refused, while the replicas were idle.
    ModelServer primary = fixture.group.server("s1");
    fixture.caller(SessionFixture.NEWEST).write("room", "1");
    fixture.group.replicate();
    SessionFixture restarted = new SessionFixture("z1", fixture.group);
    primary.holdResponses();
    List<CompletableFuture<SessionReply>> replies = new ArrayList<>();
    for (int caller = 0; caller < 20; caller++) {
      replies.add(
          restarted
              .caller(SessionFixture.BOUNDED)
              .session
              .handle("r" + caller, new SessionStatement.Read("room")));
    }
    primary.releaseResponses();
    replies.forEach(reply -> assertThat(reply.join().rows()).containsExactly("1"));

    // The write from before the restart, and no read.
    assertThat(primary.ran()).hasSize(1);
    restarted.close();
  }

  @Test
  void sampleIsRequestedFromNextServerWhenPresumedPrimaryWasReplaced() {
    // The view lags behind a change of primary. Reads that wait for a sample get it from the next
    // server immediately, instead of searching on their own.
    fixture.group.promote("s2");

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").succeeded()).isTrue();
    assertThat(fixture.group.server("s2").ran()).isEmpty();
  }

  @Test
  void sampleIsRequestedOncePerServerUntilPrimaryIsFound() {
    // The third server was promoted. The sample request was repeated on the second server, which
    // remained the most likely primary, so that each waiting read had to search on its own.
    fixture.group.promote("s3");

    assertThat(fixture.caller(SessionFixture.BOUNDED).read("room").succeeded()).isTrue();
    assertThat(fixture.group.server("s3").ran()).isEmpty();
  }
}
