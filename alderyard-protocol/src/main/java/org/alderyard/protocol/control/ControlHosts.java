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
  private final int enough;
  // Guarded by this.
  private Set<InetSocketAddress> learned = new LinkedHashSet<>();
  private volatile List<InetSocketAddress> addresses;

  /**
   * Starts with what the settings list.
   *
   * @param enough how many control hosts vote: a list with fewer is not the whole one
   */
  public ControlHosts(List<InetSocketAddress> listed, int enough) {
    this.listed = List.copyOf(listed);
    this.enough = enough;
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

  /**
   * Takes the control hosts of a view, and forgets others if these can be all.
   *
   * <p>Guards against a view from when the hosts register one by one: it names a single control
   * host, which need not lead, and all others would never be asked again.
   */
  public synchronized void replace(Collection<InetSocketAddress> known) {
    if (known.size() >= enough) {
      learned = new LinkedHashSet<>(known);
    } else {
      learned.addAll(known);
    }
    publish();
  }

  /** Takes what another host knows; nothing is forgotten. */
  public synchronized void add(Collection<InetSocketAddress> heard) {
    if (learned.addAll(heard)) {
      publish();
    }
  }

  private void publish() {
    Set<InetSocketAddress> all = new LinkedHashSet<>(learned);
    if (learned.size() < enough) {
      all.addAll(listed);
    }
    addresses = List.copyOf(all);
  }
}
