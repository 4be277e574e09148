package org.alderyard.protocol.control;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class ControlHostsTest {

  private static InetSocketAddress at(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  @Test
  void viewThatNamesOneControlHostDoesNotHideTheLeader() {
    // At the first start the hosts register one by one. A view came with one control host, which
    // did not lead; every host then asked that one only, and nobody reached the leader again.
    ControlHosts hosts = new ControlHosts(List.of(at(1), at(2), at(3)), 3);
    hosts.replace(List.of(at(2)));

    assertThat(hosts.addresses()).containsExactly(at(2), at(1), at(3)).inOrder();
  }

  @Test
  void wholeListReplacesWhatWasKnownBefore() {
    ControlHosts hosts = new ControlHosts(List.of(at(1), at(2), at(3)), 3);
    hosts.replace(List.of(at(2), at(3), at(4)));

    assertThat(hosts.addresses()).containsExactly(at(2), at(3), at(4));
  }

  @Test
  void hostsThatOthersTellOfAreAdded() {
    ControlHosts hosts = new ControlHosts(List.of(at(9)), 3);
    hosts.add(List.of(at(1)));

    assertThat(hosts.addresses()).containsExactly(at(1), at(9));
  }
}
