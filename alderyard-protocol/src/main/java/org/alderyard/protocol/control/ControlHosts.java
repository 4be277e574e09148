package org.alderyard.protocol.control;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The inner addresses of the known control hosts.
 *
 * <p>Locking: guarded by the object itself; no other lock is acquired while it is held.
 */
public final class ControlHosts {
  private final List<InetSocketAddress> configuredAddresses;
  private final int voterCount;
  // Guarded by this.
  private Set<InetSocketAddress> discovered = new LinkedHashSet<>();
  private volatile List<InetSocketAddress> addresses;

  /**
   * Creates a list with the addresses from the settings.
   *
   * @param configuredAddresses the addresses from the settings
   * @param voterCount the number of voting control hosts; a list with fewer hosts is incomplete
   */
  public ControlHosts(List<InetSocketAddress> configuredAddresses, int voterCount) {
    this.configuredAddresses = List.copyOf(configuredAddresses);
    this.voterCount = voterCount;
    this.addresses = this.configuredAddresses;
  }

  /** Returns the addresses from the settings. */
  public List<InetSocketAddress> configuredAddresses() {
    return configuredAddresses;
  }

  /** Returns all known addresses, discovered addresses first. */
  public List<InetSocketAddress> addresses() {
    return addresses;
  }

  /**
   * Adds the control hosts of a view. If they can be all control hosts, they replace the discovered
   * ones.
   *
   * <p>While hosts register one by one, a view may name a single control host that is not the
   * leader. If that view replaced the list, the other control hosts would never be contacted again.
   */
  public synchronized void replace(Collection<InetSocketAddress> viewHosts) {
    if (viewHosts.size() >= voterCount) {
      discovered = new LinkedHashSet<>(viewHosts);
    } else {
      discovered.addAll(viewHosts);
    }
    updateAddresses();
  }

  /** Adds the control hosts reported by another host; known addresses are kept. */
  public synchronized void add(Collection<InetSocketAddress> reported) {
    if (discovered.addAll(reported)) {
      updateAddresses();
    }
  }

  private void updateAddresses() {
    Set<InetSocketAddress> all = new LinkedHashSet<>(discovered);
    if (discovered.size() < voterCount) {
      all.addAll(configuredAddresses);
    }
    addresses = List.copyOf(all);
  }
}
