package org.alderyard.testkit.net;

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
 * The network link of one host, with a limited bandwidth in each direction that all connections of
 * the host share.
 *
 * <p>Connections are forwarded on the loopback interface:
 *
 * <pre>{@code
 * SlowLink link = new SlowLink(250_000);
 * InetSocketAddress callers = link.toHost(host.address()); // callers connect here
 * InetSocketAddress control = link.fromHost(controlHost.address()); // the host connects here
 * }</pre>
 */
public final class SlowLink implements AutoCloseable {
  /** Size of a block that is forwarded at once, in bytes; that of a packet. */
  private static final int BLOCK_BYTES = 1_400;

  /** Small, so that a sender notices the bandwidth instead of filling buffers. */
  private static final int SOCKET_BUFFER_BYTES = 16 * 1_024;

  private static final int BACKLOG = 256;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final Direction toHost;
  private final Direction fromHost;
  private final Set<AutoCloseable> open = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /**
   * Creates a link without connections.
   *
   * @param bytesPerSecond the bandwidth of each direction
   */
  public SlowLink(long bytesPerSecond) {
    toHost = new Direction(bytesPerSecond);
    fromHost = new Direction(bytesPerSecond);
  }

  /** Returns an address whose connections lead to a port of the host. */
  public InetSocketAddress toHost(InetSocketAddress hostPort) {
    return listen(hostPort, toHost, fromHost);
  }

  /** Returns an address whose connections, opened by the host, lead to another process. */
  public InetSocketAddress fromHost(InetSocketAddress otherPort) {
    return listen(otherPort, fromHost, toHost);
  }

  /** Changes the bandwidth of each direction. */
  public void setBandwidth(long bytesPerSecond) {
    toHost.bytesPerSecond = bytesPerSecond;
    fromHost.bytesPerSecond = bytesPerSecond;
  }

  /** Returns the bytes that the host has received. */
  public long bytesToHost() {
    return toHost.bytes();
  }

  private InetSocketAddress listen(
      InetSocketAddress target, Direction forward, Direction backward) {
    try {
      ServerSocket server = new ServerSocket();
      server.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
      open.add(server);
      start(() -> accept(server, target, forward, backward));
      return (InetSocketAddress) server.getLocalSocketAddress();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "slow-link");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(
      ServerSocket server, InetSocketAddress target, Direction forward, Direction backward) {
    while (!closed) {
      try {
        Socket client = server.accept();
        start(() -> connect(client, target, forward, backward));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void connect(
      Socket client, InetSocketAddress target, Direction forward, Direction backward) {
    open.add(client);
    Socket server = new Socket();
    open.add(server);
    try {
      client.setTcpNoDelay(true);
      client.setSendBufferSize(SOCKET_BUFFER_BYTES);
      server.setTcpNoDelay(true);
      server.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
      server.setSendBufferSize(SOCKET_BUFFER_BYTES);
      server.connect(target);
      start(() -> forward.copy(client, server));
      backward.copy(server, client);
    } catch (IOException refused) {
      close(client);
      close(server);
    }
  }

  @Override
  public void close() {
    closed = true;
    open.forEach(SlowLink::close);
  }

  private static void close(AutoCloseable socket) {
    try {
      socket.close();
    } catch (Exception ignored) {
      // The connection is given up, so a failure to close its socket has no effect.
    }
  }

  /** One direction of the link. Blocks of all connections pass one after another. */
  private static final class Direction {
    private volatile long bytesPerSecond;
    // Guarded by this.
    private long freeNanos = System.nanoTime();
    private long bytes;

    Direction(long bytesPerSecond) {
      this.bytesPerSecond = bytesPerSecond;
    }

    void copy(Socket from, Socket to) {
      byte[] block = new byte[BLOCK_BYTES];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int n = in.read(block); n >= 0; n = in.read(block)) {
          awaitTurn(n);
          out.write(block, 0, n);
        }
        to.shutdownOutput();
      } catch (IOException broken) {
        close(from);
        close(to);
      }
    }

    private void awaitTurn(int blockBytes) {
      long dueNanos = reserve(blockBytes);
      for (long left = dueNanos - System.nanoTime();
          left > 0;
          left = dueNanos - System.nanoTime()) {
        LockSupport.parkNanos(left);
      }
    }

    private synchronized long reserve(int blockBytes) {
      freeNanos =
          Math.max(freeNanos, System.nanoTime()) + blockBytes * NANOS_PER_SECOND / bytesPerSecond;
      bytes += blockBytes;
      return freeNanos;
    }

    private synchronized long bytes() {
      return bytes;
    }
  }
}
