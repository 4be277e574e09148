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
  void ageOfPeerSampleIsSubtractedFromTheTimeOfTheRequest() {
    // The reply of another host is delayed by a second. If the age were subtracted from the time of
    // arrival, the sample would look a second too recent and a read could exceed its staleness
    // limit.
    PositionSampleReply reply =
        PositionSampleReply.newBuilder()
            .setPosition(LogPosition.newBuilder().setTerm(3).setIndex(7))
            .setAgeMicros(TimeUnit.MILLISECONDS.toMicros(400))
            .build();

    PositionSamples.Sample sample = PeerSamples.decodeSample(reply, SENT_NANOS).orElseThrow();

    assertThat(sample.position()).isEqualTo(new Position(3, 7));
    assertThat(sample.requestedNanos()).isEqualTo(SENT_NANOS - TimeUnit.MILLISECONDS.toNanos(400));
  }

  @Test
  void replyWithoutPositionContainsNoSample() {
    assertThat(PeerSamples.decodeSample(PositionSampleReply.getDefaultInstance(), SENT_NANOS))
        .isEmpty();
  }
}
