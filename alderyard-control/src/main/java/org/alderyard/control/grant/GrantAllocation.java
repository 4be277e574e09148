package org.alderyard.control.grant;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Divides a server's connections among proxies: a floor for each proxy, the rest in proportion to
 * demand.
 *
 * <p>If there are more proxies than connections, the proxies with the highest demand get one each.
 * The other proxies get none and forward their statements to a proxy that holds a connection. The
 * class is stateless.
 */
public final class GrantAllocation {

  private GrantAllocation() {}

  /**
   * Returns the number of connections allocated to each proxy.
   *
   * @param available the connections to divide
   * @param floor the connections allocated to each proxy before the rest is divided by demand
   * @param wanted the connections that each proxy has demand for; an upper bound of its allocation
   */
  public static SortedMap<ProxyId, Integer> allocate(
      int available, int floor, Map<ProxyId, Integer> wanted) {
    SortedMap<ProxyId, Integer> shares = new TreeMap<>();
    wanted.keySet().forEach(proxy -> shares.put(proxy, 0));
    List<ProxyId> byDemand =
        wanted.keySet().stream()
            .sorted(
                Comparator.<ProxyId>comparingInt(wanted::get)
                    .reversed()
                    .thenComparing(Comparator.naturalOrder()))
            .toList();
    int remaining = available;
    // Allocates one connection per round, so that scarce connections reach as many proxies as
    // possible.
    for (int round = 0; round < floor; round++) {
      remaining = allocateOneEach(byDemand, wanted, shares, remaining);
    }
    allocateByDemand(byDemand, wanted, shares, remaining);
    return shares;
  }

  private static int allocateOneEach(
      List<ProxyId> order,
      Map<ProxyId, Integer> wanted,
      SortedMap<ProxyId, Integer> shares,
      int available) {
    int remaining = available;
    for (ProxyId proxy : order) {
      if (remaining > 0 && shares.get(proxy) < wanted.get(proxy)) {
        shares.merge(proxy, 1, Integer::sum);
        remaining--;
      }
    }
    return remaining;
  }

  /** Divides the available connections in proportion to each proxy's unmet demand. */
  private static void allocateByDemand(
      List<ProxyId> order,
      Map<ProxyId, Integer> wanted,
      SortedMap<ProxyId, Integer> shares,
      int available) {
    long totalUnmet =
        order.stream().mapToLong(proxy -> wanted.get(proxy) - shares.get(proxy)).sum();
    int remaining = available;
    if (totalUnmet > 0) {
      int divisible = available;
      for (ProxyId proxy : order) {
        int unmet = wanted.get(proxy) - shares.get(proxy);
        int share = (int) Math.min(unmet, divisible * (long) unmet / totalUnmet);
        shares.merge(proxy, share, Integer::sum);
        remaining -= share;
      }
    }
    int before;
    do {
      before = remaining;
      remaining = allocateOneEach(order, wanted, shares, remaining);
    } while (remaining < before);
  }
}
