package org.alderyard.protocol.control;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.Collectors;
import org.alderyard.common.error.AlderyardException;

/**
 * Which hosts a request was sent to and why each did not serve it, for the one line that tells of
 * its end. Of many tries the last ones are kept.
 */
final class TriedHosts {
  /** Two rounds over a control plane of three hosts, and the first tries of the next. */
  private static final int MAX_KEPT = 8;

  // Both guarded by this: tries follow one another, on different threads.
  private final Deque<String> last = new ArrayDeque<>();
  private int count;

  synchronized void add(InetSocketAddress host, AlderyardException failure) {
    count++;
    if (last.size() == MAX_KEPT) {
      last.removeFirst();
    }
    last.addLast(
        "%s:%d:%s:%s"
            .formatted(host.getHostString(), host.getPort(), failure.code(), failure.outcome()));
  }

  /** Returns the tries as {@code address:code:outcome}, oldest first. */
  @Override
  public synchronized String toString() {
    String earlier = count > last.size() ? (count - last.size()) + " earlier," : "";
    return last.stream().collect(Collectors.joining(",", earlier, ""));
  }
}
