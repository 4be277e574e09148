package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import org.alderyard.testkit.net.FreePorts;
import org.junit.jupiter.api.Test;

/**
 * All hosts lose power and start again. Callers come back while the hosts load their code, find no
 * port, try another host that has none either, and give up with their last try some tenths of a
 * second before the hosts could have served them.
 */
class EarlyPortTest {

  @Test
  void callersWaitInTheQueue() throws IOException {
    int number = FreePorts.next();
    Optional<EarlyPort> port =
        EarlyPort.open(new String[] {"--listen", "127.0.0.1:" + number, "--settings", "f"});
    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), number)) {
      assertThat(caller.isConnected()).isTrue();
    } finally {
      port.get().channel().close();
    }
  }

  @Test
  void withoutTheOptionNothingIsOpened() {
    assertThat(EarlyPort.open(new String[] {"--settings", "f"})).isEqualTo(Optional.empty());
  }

  @Test
  void unusableAddressIsLeftToTheSettings() throws IOException {
    assertThat(EarlyPort.open(new String[] {"--listen", "nowhere"})).isEqualTo(Optional.empty());
    assertThat(EarlyPort.open(new String[] {"--listen", "127.0.0.1:x"}))
        .isEqualTo(Optional.empty());
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + taken.getLocalPort();
      assertThat(EarlyPort.open(new String[] {"--listen", address})).isEqualTo(Optional.empty());
    }
  }
}
