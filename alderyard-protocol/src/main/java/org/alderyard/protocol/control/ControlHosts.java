package org.alderyard.protocol.control;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The inner addresses of the control hosts, as far as this host knows them.
 *
 * <p>Lock: the object itself, a leaf.
 */
public final class ControlHosts {
  private final List<InetSocketAddress> listed;
  // Guarded by this.
  private Set<InetSocketAddress> learned = new LinkedHashSet<>();
  private volatile List<InetSocketAddress> addresses;

  /** Starts with what the settings list. */
  public ControlHosts(List<InetSocketAddress> listed) {
    this.listed = List.copyOf(listed);
    this.addresses = this.listed;
  }

  /** Returns what the settings list. */
  public List<InetSocketAddress> listed() {
    return listed;
  }

  /** Returns all that are known, those that were learned first. */
  public List<InetSocketAddress> addresses() {
    return addresses;
  }

  /** Takes a list that is complete, such as that of a view. */
  public synchronized void replace(Collection<InetSocketAddress> known) {
    if (!known.isEmpty()) {
      learned = new LinkedHashSet<>(known);
      publish();
    }
  }

  /** Takes what another host knows; nothing is forgotten. */
  public synchronized void add(Collection<InetSocketAddress> heard) {
    if (learned.addAll(heard)) {
      publish();
    }
  }

  private void publish() {
    Set<InetSocketAddress> all = new LinkedHashSet<>(learned);
    if (learned.isEmpty()) {
      all.addAll(listed);
    }
    addresses = List.copyOf(all);
  }
}
