package org.alderyard.control.grant;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Shares a server's connections among proxies: a floor for each, the rest by demand. Pure.
 *
 * <p>When there are more proxies than floors, those that want most get one and the others none;
 * they pass their statements on to a proxy that has one.
 */
public final class GrantAllocation {

  private GrantAllocation() {}

  /**
   * Returns the share of each proxy.
   *
   * @param available the connections to share
   * @param floor the connections that each proxy gets before demand counts
   * @param wanted the connections that each proxy could use
   */
  public static SortedMap<ProxyId, Integer> share(
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
    int left = available;
    // One round for each connection of the floor, so that a scarce floor reaches the most proxies.
    for (int round = 0; round < floor; round++) {
      left = giveOneEach(byDemand, wanted, shares, left);
    }
    shareByDemand(byDemand, wanted, shares, left);
    return shares;
  }

  private static int giveOneEach(
      List<ProxyId> order,
      Map<ProxyId, Integer> wanted,
      SortedMap<ProxyId, Integer> shares,
      int available) {
    int left = available;
    for (ProxyId proxy : order) {
      if (left > 0 && shares.get(proxy) < wanted.get(proxy)) {
        shares.merge(proxy, 1, Integer::sum);
        left--;
      }
    }
    return left;
  }

  /** Each gets the part of the rest that its unmet demand is of all unmet demand. */
  private static void shareByDemand(
      List<ProxyId> order,
      Map<ProxyId, Integer> wanted,
      SortedMap<ProxyId, Integer> shares,
      int available) {
    long unmet = order.stream().mapToLong(proxy -> wanted.get(proxy) - shares.get(proxy)).sum();
    int left = available;
    if (unmet > 0) {
      int rest = available;
      for (ProxyId proxy : order) {
        int missing = wanted.get(proxy) - shares.get(proxy);
        int part = (int) Math.min(missing, rest * (long) missing / unmet);
        shares.merge(proxy, part, Integer::sum);
        left -= part;
      }
    }
    int before;
    do {
      before = left;
      left = giveOneEach(order, wanted, shares, left);
    } while (left < before);
  }
}
