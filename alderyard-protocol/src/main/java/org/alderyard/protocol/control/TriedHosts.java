package org.alderyard.protocol.control;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.Collectors;
import org.alderyard.common.error.AlderyardException;

/**
 * The failed attempts of a request, for the error message of the request. Only the last attempts
 * are kept.
 */
final class TriedHosts {
  /** Covers two rounds over three control hosts and the first attempts of the next round. */
  private static final int MAX_RECENT = 8;

  // Both guarded by this: attempts are sequential but run on different threads.
  private final Deque<String> recent = new ArrayDeque<>();
  private int attemptCount;

  synchronized void add(InetSocketAddress host, AlderyardException failure) {
    attemptCount++;
    if (recent.size() == MAX_RECENT) {
      recent.removeFirst();
    }
    recent.addLast(
        host.getHostString()
            + ":"
            + host.getPort()
            + ":"
            + failure.code()
            + ":"
            + failure.outcome());
  }

  /** Returns the kept attempts as {@code address:port:code:outcome}, oldest first. */
  @Override
  public synchronized String toString() {
    String earlier =
        attemptCount > recent.size() ? (attemptCount - recent.size()) + " earlier," : "";
    return recent.stream().collect(Collectors.joining(",", earlier, ""));
  }
}
