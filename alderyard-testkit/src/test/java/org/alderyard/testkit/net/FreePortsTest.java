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
  void allocatedPortsAreBelowTheEphemeralRange() throws Exception {
    // Guards against allocation from the ephemeral range: while the 24 processes of the demo
    // start, an outgoing connection of a running host can be assigned the port of a server that
    // does not listen yet. That server then fails to bind, and the start of the demo is aborted.
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Socket outgoing = new Socket(InetAddress.getLoopbackAddress(), listener.getLocalPort())) {
      for (int i = 0; i < 100; i++) {
        assertThat(FreePorts.next()).isLessThan(outgoing.getLocalPort());
      }
    }
  }

  @Test
  void allocatesEachPortOnce() {
    Set<Integer> allocated = new HashSet<>();
    for (int i = 0; i < 1_000; i++) {
      assertThat(allocated.add(FreePorts.next())).isTrue();
    }
  }

  @Test
  void skipsPortsInUse() throws Exception {
    int previous = FreePorts.next();
    try (ServerSocket inUse = new ServerSocket(previous + 1, 1, InetAddress.getLoopbackAddress())) {
      assertThat(FreePorts.next()).isNotEqualTo(inUse.getLocalPort());
    }
  }
}
