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
 * A port that passes connections on to another one, and does to them what networks do.
 *
 * <p>What is held back in a cut goes on its way when the cut ends, as a network sends it again.
 */
public final class LoopbackLink implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int BACKLOG = 256;

  /** How often a held direction looks whether it may go on. */
  private static final long HOLD_NANOS = 5_000_000;

  private static final long STACK_BYTES = 128 * 1024;

  private final InetSocketAddress target;
  private final ServerSocket port;
  private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
  private volatile long delayMillis;
  private volatile boolean heldIn;
  private volatile boolean heldOut;
  private volatile boolean closed;

  /** Listens on a free port of the loopback for connections to the target. */
  public LoopbackLink(InetSocketAddress target) {
    this.target = target;
    try {
      port = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    } catch (IOException noPort) {
      throw new UncheckedIOException(noPort);
    }
    start(this::accept, "link");
  }

  /** Returns where the target is reached through this link. */
  public InetSocketAddress address() {
    return (InetSocketAddress) port.getLocalSocketAddress();
  }

  /** Passes everything on this much later; 0 ends it. */
  public void delay(long millis) {
    delayMillis = millis;
  }

  /** Holds what goes to the target, what comes from it, or both; false ends it. */
  public void hold(boolean toTarget, boolean fromTarget) {
    heldIn = toTarget;
    heldOut = fromTarget;
  }

  /** Breaks the connections that are open. */
  public void reset() {
    pairs.forEach(Pair::reset);
  }

  /** Lets nothing pass on the connections that are open, for good; new ones work. */
  public void silence() {
    pairs.forEach(pair -> pair.silent = true);
  }

  private static void start(Runnable task, String name) {
    Thread thread = new Thread(null, task, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket caller = port.accept();
        start(() -> connect(caller), "link-connect");
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void connect(Socket caller) {
    Socket server = new Socket();
    Pair pair = new Pair(caller, server);
    try {
      caller.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      server.connect(target);
      pairs.add(pair);
      start(() -> pair.pump(caller, server, true), "link-in");
      pair.pump(server, caller, false);
    } catch (IOException refused) {
      pair.reset();
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      port.close();
    } catch (IOException ignored) {
      // Nothing is accepted any more in any case.
    }
    reset();
  }

  /** The two connections that one caller's connection consists of. */
  private final class Pair {
    private final Socket caller;
    private final Socket server;
    private volatile boolean silent;

    Pair(Socket caller, Socket server) {
      this.caller = caller;
      this.server = server;
    }

    void reset() {
      pairs.remove(this);
      abort(caller);
      abort(server);
    }

    private static void abort(Socket socket) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException closedBefore) {
        // It is what was asked for.
      }
    }

    void pump(Socket from, Socket to, boolean toTarget) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          LockSupport.parkNanos(delayMillis * 1_000_000);
          while (!closed && (silent || (toTarget ? heldIn : heldOut))) {
            LockSupport.parkNanos(HOLD_NANOS);
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
