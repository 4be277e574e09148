package org.alderyard.cli.local;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * A TCP forwarder on the loopback interface that injects network faults.
 *
 * <p>Bytes that are held during a partition are forwarded afterwards, as by TCP retransmission.
 */
public final class LoopbackLink implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int BACKLOG = 256;

  /** Interval at which a held direction checks whether forwarding may continue. */
  private static final long HOLD_POLL_NANOS = 5_000_000;

  private static final long STACK_BYTES = 128 * 1024;

  private final InetSocketAddress target;
  private final ServerSocket serverSocket;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private volatile long delayMillis;
  private volatile boolean holdToTarget;
  private volatile boolean holdFromTarget;
  private volatile boolean closed;

  /** Listens on a free loopback port and forwards connections to the target. */
  public LoopbackLink(InetSocketAddress target) {
    this(target, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** Listens on the given loopback address and forwards connections to the target. */
  LoopbackLink(InetSocketAddress target, InetSocketAddress listenAddress) {
    this.target = target;
    try {
      serverSocket = new ServerSocket(listenAddress.getPort(), BACKLOG, listenAddress.getAddress());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    start(this::accept, "link");
  }

  /** Returns the listen address, through which clients connect to the target. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverSocket.getLocalSocketAddress();
  }

  /** Delays the forwarding of each received block in both directions; 0 disables the delay. */
  public void setDelay(long millis) {
    delayMillis = millis;
  }

  /** Holds bytes to the target, bytes from the target, or both; false releases a direction. */
  public void hold(boolean toTarget, boolean fromTarget) {
    holdToTarget = toTarget;
    holdFromTarget = fromTarget;
  }

  /** Resets all open connections. */
  public void reset() {
    connections.forEach(Connection::reset);
  }

  /** Permanently stops forwarding on all open connections; new connections are unaffected. */
  public void blackhole() {
    connections.forEach(connection -> connection.blackholed = true);
  }

  private static void start(Runnable task, String name) {
    Thread thread = new Thread(null, task, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket client = serverSocket.accept();
        start(() -> connect(client), "link-connect");
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void connect(Socket client) {
    Socket targetSocket = new Socket();
    Connection connection = new Connection(client, targetSocket);
    try {
      client.setTcpNoDelay(true);
      targetSocket.setTcpNoDelay(true);
      targetSocket.connect(target);
      connections.add(connection);
      start(() -> connection.forward(client, targetSocket, true), "link-in");
      connection.forward(targetSocket, client, false);
    } catch (IOException refused) {
      connection.reset();
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      serverSocket.close();
    } catch (IOException ignored) {
      // The link is closed, so a failure to close its socket has no effect.
    }
    reset();
  }

  /** A forwarded connection: the socket of the caller and the socket to the target. */
  private final class Connection {
    private final Socket client;
    private final Socket targetSocket;
    private volatile boolean blackholed;

    Connection(Socket client, Socket targetSocket) {
      this.client = client;
      this.targetSocket = targetSocket;
    }

    void reset() {
      connections.remove(this);
      abort(client);
      abort(targetSocket);
    }

    private static void abort(Socket socket) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException alreadyClosed) {
        // The socket is already closed.
      }
    }

    void forward(Socket from, Socket to, boolean toTarget) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          LockSupport.parkNanos(delayMillis * 1_000_000);
          while (!closed && (blackholed || (toTarget ? holdToTarget : holdFromTarget))) {
            LockSupport.parkNanos(HOLD_POLL_NANOS);
          }
          out.write(buffer, 0, n);
        }
        to.shutdownOutput();
      } catch (IOException broken) {
        reset();
      }
    }
  }
}
