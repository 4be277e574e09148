package org.alderyard.protocol.wire;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.alderyard.common.time.MonotonicClock;

/** The links of a process, one for each peer address. */
public final class PeerLinks implements AutoCloseable {
  private final EventLoops loops;
  private final ProtocolOptions options;
  private final Map<InetSocketAddress, PeerLink> links = new ConcurrentHashMap<>();
  private final List<Consumer<InetSocketAddress>> disconnectListeners =
      new CopyOnWriteArrayList<>();

  /** Creates an empty set of links. */
  public PeerLinks(EventLoops loops, ProtocolOptions options) {
    this.loops = loops;
    this.options = options;
  }

  /** Returns the link to the given address, which is created at the first call. */
  public PeerLink linkTo(InetSocketAddress address) {
    return links.computeIfAbsent(
        address,
        key ->
            new PeerLink(
                loops, key, options, MonotonicClock.system(), () -> notifyDisconnected(key)));
  }

  /**
   * Adds a listener that is called on a network thread with the address of a peer whenever an open
   * connection to it ends. It must not block.
   */
  public void onDisconnect(Consumer<InetSocketAddress> listener) {
    disconnectListeners.add(listener);
  }

  private void notifyDisconnected(InetSocketAddress address) {
    disconnectListeners.forEach(listener -> listener.accept(address));
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
  }
}
