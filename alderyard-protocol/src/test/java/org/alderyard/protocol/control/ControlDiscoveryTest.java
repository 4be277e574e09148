package org.alderyard.protocol.control;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.alderyard.protocol.generated.control.FindControlHostsReply;
import org.alderyard.protocol.generated.control.FindControlHostsRequest;
import org.alderyard.protocol.view.StateCodec;
import org.junit.jupiter.api.Test;

class ControlDiscoveryTest {

  private static InetSocketAddress at(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  @Test
  void seedThatIsNoControlHostTellsOfThoseThatToldItOfThemselves() {
    // The seeds are exchanged for hosts without a disk, and then all processes are killed at once.
    // After that the seeds know nobody, and all hosts ask them. The control hosts had elected a
    // leader again, and no host ever found it: nothing was served for the rest of the day.
    ControlHosts known = new ControlHosts(List.of(at(7)), 3);
    ControlDiscovery seed = new ControlDiscovery(known, null, null, () -> false, List::of);
    seed.answer(
        FindControlHostsRequest.newBuilder()
            .addControlHosts(StateCodec.endpointMessage(at(1)))
            .addControlHosts(StateCodec.endpointMessage(at(2)))
            .build());

    FindControlHostsReply reply = seed.answer(FindControlHostsRequest.getDefaultInstance());

    assertThat(reply.getControlHostsList().stream().map(StateCodec::address).toList())
        .containsAtLeast(at(1), at(2));
  }
}
