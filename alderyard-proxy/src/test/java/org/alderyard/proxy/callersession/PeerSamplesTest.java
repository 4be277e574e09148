package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;
import org.alderyard.protocol.generated.control.PositionSampleReply;
import org.alderyard.protocol.generated.state.LogPosition;
import org.junit.jupiter.api.Test;

class PeerSamplesTest {
  private static final long SENT_NANOS = TimeUnit.SECONDS.toNanos(100);

  @Test
  void ageOfAnotherHostsSampleCountsFromBeforeTheQuestion() {
    // Another host's answer is held up on its way for a second. Counted from its arrival, the
    // sample would look a second younger than it is, and a read would be older than it may be.
    PositionSampleReply reply =
        PositionSampleReply.newBuilder()
            .setPosition(LogPosition.newBuilder().setTerm(3).setIndex(7))
            .setAgeMicros(TimeUnit.MILLISECONDS.toMicros(400))
            .build();

    PositionSamples.Sample sample = PeerSamples.sample(reply, SENT_NANOS).orElseThrow();

    assertThat(sample.position()).isEqualTo(new Position(3, 7));
    assertThat(sample.askedNanos()).isEqualTo(SENT_NANOS - TimeUnit.MILLISECONDS.toNanos(400));
  }

  @Test
  void hostWithoutSampleGivesNone() {
    assertThat(PeerSamples.sample(PositionSampleReply.getDefaultInstance(), SENT_NANOS)).isEmpty();
  }
}
