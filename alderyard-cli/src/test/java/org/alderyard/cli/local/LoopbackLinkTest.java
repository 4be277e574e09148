package org.alderyard.cli.local;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks that a link injects faults and clears temporary ones; soak runs depend on both. */
class LoopbackLinkTest {
  private static final int SHORT_MILLIS = 200;
  private static final int LONG_MILLIS = 20_000;

  private ServerSocket echo;
  private LoopbackLink link;

  @BeforeEach
  void open() throws IOException {
    echo = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::echo);
    thread.setDaemon(true);
    thread.start();
    link = new LoopbackLink((InetSocketAddress) echo.getLocalSocketAddress());
  }

  @AfterEach
  void close() throws IOException {
    link.close();
    echo.close();
  }

  private void echo() {
    while (!echo.isClosed()) {
      try {
        Socket socket = echo.accept();
        Thread thread = new Thread(() -> echoBytes(socket));
        thread.setDaemon(true);
        thread.start();
      } catch (IOException closed) {
        return;
      }
    }
  }

  private static void echoBytes(Socket socket) {
    try (socket) {
      socket.getInputStream().transferTo(socket.getOutputStream());
    } catch (IOException broken) {
      // The tests reset connections on purpose.
    }
  }

  private Socket connect() throws IOException {
    return new Socket(link.address().getAddress(), link.address().getPort());
  }

  private static int sendAndReceive(Socket socket, int timeoutMillis) throws IOException {
    socket.getOutputStream().write('x');
    socket.setSoTimeout(timeoutMillis);
    return socket.getInputStream().read();
  }

  @Test
  void forwardsInBothDirections() throws IOException {
    try (Socket socket = connect()) {
      assertThat(sendAndReceive(socket, LONG_MILLIS)).isEqualTo((int) 'x');
    }
  }

  @Test
  void holdDelaysBytesUntilReleased() throws IOException {
    try (Socket socket = connect()) {
      assertThat(sendAndReceive(socket, LONG_MILLIS)).isEqualTo((int) 'x');
      link.hold(false, true);
      assertThrows(SocketTimeoutException.class, () -> sendAndReceive(socket, SHORT_MILLIS));
      link.hold(false, false);
      socket.setSoTimeout(LONG_MILLIS);
      assertThat(socket.getInputStream().read()).isEqualTo((int) 'x');
    }
  }

  @Test
  void blackholeAffectsOnlyOpenConnections() throws IOException {
    try (Socket openConnection = connect()) {
      assertThat(sendAndReceive(openConnection, LONG_MILLIS)).isEqualTo((int) 'x');
      link.blackhole();
      assertThrows(
          SocketTimeoutException.class, () -> sendAndReceive(openConnection, SHORT_MILLIS));
      try (Socket newConnection = connect()) {
        assertThat(sendAndReceive(newConnection, LONG_MILLIS)).isEqualTo((int) 'x');
      }
    }
  }

  @Test
  void resetClosesOpenConnections() throws IOException {
    try (Socket socket = connect()) {
      assertThat(sendAndReceive(socket, LONG_MILLIS)).isEqualTo((int) 'x');
      link.reset();
      assertThrows(IOException.class, () -> receiveUntilBroken(socket));
    }
  }

  private static void receiveUntilBroken(Socket socket) throws IOException {
    if (sendAndReceive(socket, LONG_MILLIS) < 0) {
      throw new IOException("closed");
    }
  }
}
