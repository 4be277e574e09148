package org.alderyard.proxy.serverhealth;

/**
 * What a host divides the bound of a server by, and its maximum; both follow from the view.
 *
 * @param hosts number of hosts that send statements to the group's servers, at least 1
 * @param slots number of statements that one of the servers runs concurrently, at least 1
 */
public record FleetSize(int hosts, int slots) {
  /** A single host in front of servers with one slot. */
  public static final FleetSize SINGLE = new FleetSize(1, 1);

  /** Raises values below 1 to 1. */
  public FleetSize {
    hosts = Math.max(1, hosts);
    slots = Math.max(1, slots);
  }
}
