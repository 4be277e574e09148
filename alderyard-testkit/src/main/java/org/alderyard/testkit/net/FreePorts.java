package org.alderyard.testkit.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Allocates loopback ports for processes to be started, each port once.
 *
 * <p>The operating system picks ports from its ephemeral range. Until the process listens on such a
 * port, or while the process is down, any outgoing connection may be assigned the same port.
 */
public final class FreePorts {
  /** First port to allocate; above the ports of well-known services. */
  static final int FIRST = 12_000;

  /** End of the port range (exclusive); the ephemeral ports of Linux start at 32,768. */
  static final int END = 32_000;

  /**
   * Distance between the first ports of processes with adjacent ids; exceeds the ports that one
   * process needs.
   */
  private static final int PID_STRIDE = 211;

  private static int next =
      FIRST + (int) (ProcessHandle.current().pid() * PID_STRIDE % (END - FIRST));

  private FreePorts() {}

  /**
   * Returns a port without a listener that this process has not returned since the range last
   * wrapped around.
   *
   * @throws IllegalStateException if every port of the range is in use
   */
  public static synchronized int next() {
    for (int tries = FIRST; tries < END; tries++) {
      int port = next;
      next = port + 1 == END ? FIRST : port + 1;
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no free port from " + FIRST + " to " + (END - 1));
  }

  /** Returns the loopback address of a newly allocated port, see {@link #next()}. */
  public static InetSocketAddress nextAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), next());
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException inUse) {
      return false;
    }
  }
}
