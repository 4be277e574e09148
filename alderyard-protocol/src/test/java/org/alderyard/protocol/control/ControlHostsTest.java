package org.alderyard.protocol.control;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class ControlHostsTest {

  private static InetSocketAddress localAddress(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  @Test
  void viewWithOneControlHostKeepsTheOthers() {
    // Guards against an unreachable leader at the first start, when the hosts register one by one.
    // A view named one control host that was not the leader; every host then contacted that one
    // only, and the leader was never reached again.
    ControlHosts hosts =
        new ControlHosts(List.of(localAddress(1), localAddress(2), localAddress(3)), 3);
    hosts.replace(List.of(localAddress(2)));

    assertThat(hosts.addresses())
        .containsExactly(localAddress(2), localAddress(1), localAddress(3))
        .inOrder();
  }

  @Test
  void completeListReplacesTheKnownHosts() {
    ControlHosts hosts =
        new ControlHosts(List.of(localAddress(1), localAddress(2), localAddress(3)), 3);
    hosts.replace(List.of(localAddress(2), localAddress(3), localAddress(4)));

    assertThat(hosts.addresses())
        .containsExactly(localAddress(2), localAddress(3), localAddress(4));
  }

  @Test
  void hostsReportedByOthersAreAdded() {
    ControlHosts hosts = new ControlHosts(List.of(localAddress(9)), 3);
    hosts.add(List.of(localAddress(1)));

    assertThat(hosts.addresses()).containsExactly(localAddress(1), localAddress(9));
  }
}
