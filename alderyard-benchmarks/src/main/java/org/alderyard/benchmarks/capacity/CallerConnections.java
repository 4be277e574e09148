package org.alderyard.benchmarks.capacity;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Measures the memory of idle caller connections of a running proxy.
 *
 * <p>Arguments: process id and caller address of the proxy. Each connection requests {@code /live}
 * once and stays open.
 */
public final class CallerConnections {
  private static final int[] COUNTS = {0, 1_000, 3_000, 6_000, 10_000, 15_000};
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(6);
  private static final int MAX_RESPONSE_BYTES = 512;

  private CallerConnections() {}

  /** Prints the resident memory for each number of connections and the linear fit. */
  public static void main(String[] args) throws IOException {
    if (args.length != 2) {
      System.err.println("usage: CallerConnections PID IP:PORT");
      System.exit(2);
    }
    String[] address = args[1].split(":");
    InetSocketAddress proxy = new InetSocketAddress(address[0], Integer.parseInt(address[1]));
    List<SocketChannel> open = new ArrayList<>();
    double[] x = new double[COUNTS.length];
    double[] y = new double[COUNTS.length];
    System.out.println("connections | resident KiB");
    for (int i = 0; i < COUNTS.length; i++) {
      while (open.size() < COUNTS[i]) {
        open.add(connect(proxy));
      }
      LockSupport.parkNanos(SETTLE_NANOS);
      x[i] = COUNTS[i];
      y[i] = residentKib(args[0]);
      System.out.printf("%d | %.0f%n", COUNTS[i], y[i]);
    }
    System.out.println(LineFit.through(x, y).text("KiB a connection"));
    for (SocketChannel channel : open) {
      channel.close();
    }
  }

  private static SocketChannel connect(InetSocketAddress proxy) throws IOException {
    SocketChannel channel = SocketChannel.open(proxy);
    String request = "GET /live HTTP/1.1\r\nHost: x\r\n\r\n";
    channel.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.UTF_8)));
    ByteBuffer response = ByteBuffer.allocate(MAX_RESPONSE_BYTES);
    if (channel.read(response) <= 0) {
      throw new IOException("the proxy closed the connection");
    }
    return channel;
  }

  private static double residentKib(String processId) throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc", processId, "status"))) {
      if (line.startsWith("VmRSS:")) {
        return Double.parseDouble(line.replaceAll("[^0-9]", ""));
      }
    }
    throw new IOException("no VmRSS of process " + processId);
  }
}
