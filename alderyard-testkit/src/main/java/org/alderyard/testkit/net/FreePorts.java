package org.alderyard.testkit.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Deals loopback ports for processes that are started a moment later, each port once.
 *
 * <p>A port that the system itself picks is from the range of outgoing connections: until its
 * process listens on it, or while that process is down, any connection of the machine may get it.
 */
public final class FreePorts {
  /** The first port to deal, a number; above the well-known services. */
  static final int FIRST = 12_000;

  /** The port after the last to deal, a number; Linux opens connections from 32,768 upwards. */
  static final int END = 32_000;

  /** How far apart two processes begin to look, in ports; far more than one of them needs. */
  private static final int STRIDE = 211;

  private static int next = FIRST + (int) (ProcessHandle.current().pid() * STRIDE % (END - FIRST));

  private FreePorts() {}

  /** Returns a port on which nobody listens and which was not dealt before by this process. */
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

  /** Returns the loopback address of a port on which nobody listens. */
  public static InetSocketAddress nextAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), next());
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException taken) {
      return false;
    }
  }
}
