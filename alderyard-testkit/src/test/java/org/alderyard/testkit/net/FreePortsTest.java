package org.alderyard.testkit.net;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FreePortsTest {

  @Test
  void outgoingConnectionsNeverTakePortsOfLaterProcesses() throws Exception {
    // The demonstration took the ports of its 24 processes from the system, which deals them out
    // of the range of outgoing connections. Before the last server listened, a connection of a
    // host that was up already had got its port; the server ended and the start was given up.
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Socket outgoing = new Socket(InetAddress.getLoopbackAddress(), listener.getLocalPort())) {
      for (int i = 0; i < 100; i++) {
        assertThat(FreePorts.next()).isLessThan(outgoing.getLocalPort());
      }
    }
  }

  @Test
  void dealsEachPortOnce() {
    Set<Integer> dealt = new HashSet<>();
    for (int i = 0; i < 1_000; i++) {
      assertThat(dealt.add(FreePorts.next())).isTrue();
    }
  }

  @Test
  void passesOverPortsInUse() throws Exception {
    int before = FreePorts.next();
    try (ServerSocket inUse = new ServerSocket(before + 1, 1, InetAddress.getLoopbackAddress())) {
      assertThat(FreePorts.next()).isNotEqualTo(inUse.getLocalPort());
    }
  }
}
