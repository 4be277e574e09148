package org.alderyard.protocol.control;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.alderyard.protocol.generated.control.FindControlHostsReply;
import org.alderyard.protocol.generated.control.FindControlHostsRequest;
import org.alderyard.protocol.view.StateCodec;
import org.junit.jupiter.api.Test;

class ControlDiscoveryTest {

  private static InetSocketAddress localAddress(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  @Test
  void seedReturnsTheControlHostsThatAnnouncedThemselves() {
    // Guards against a cluster that never recovers when its seeds are replaced by hosts without a
    // disk and then all processes are killed. The seeds knew no control host and all hosts queried
    // the seeds; the control hosts had elected a leader, but no host found it and nothing was
    // served for the rest of the day.
    ControlHosts controlHosts = new ControlHosts(List.of(localAddress(7)), 3);
    ControlDiscovery seed = new ControlDiscovery(controlHosts, null, null, () -> false, List::of);
    seed.answer(
        FindControlHostsRequest.newBuilder()
            .addControlHosts(StateCodec.endpointMessage(localAddress(1)))
            .addControlHosts(StateCodec.endpointMessage(localAddress(2)))
            .build());

    FindControlHostsReply reply = seed.answer(FindControlHostsRequest.getDefaultInstance());

    assertThat(reply.getControlHostsList().stream().map(StateCodec::address).toList())
        .containsAtLeast(localAddress(1), localAddress(2));
  }
}
