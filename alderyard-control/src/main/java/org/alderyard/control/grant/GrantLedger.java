package org.alderyard.control.grant;

import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Tracks the grants of one server's connections. Not thread-safe.
 *
 * <p>Proxies that open more connections than the server accepts would have them refused or closed.
 * This can happen when a reply is lost, a proxy fails, is partitioned or restarts, or the leader
 * changes. A grant therefore counts until its proxy reports that it holds fewer connections or the
 * lease expires, and only the remaining connections are granted. A lease expires earlier at the
 * proxy than in the ledger, because the proxy measures it from before it sends the request.
 */
public final class GrantLedger {
  private final GrantOptions options;
  private final long quarantineEndNanos;
  private final SortedMap<ProxyId, Entry> entries = new TreeMap<>();

  /**
   * Creates an empty ledger for a new leader.
   *
   * @param leaderSinceNanos a time at or after this host became the leader, in nanoseconds; the
   *     quarantine starts there
   */
  public GrantLedger(GrantOptions options, long leaderSinceNanos) {
    this.options = Objects.requireNonNull(options);
    this.quarantineEndNanos = leaderSinceNanos + options.quarantine().toNanos();
  }

  /**
   * Renews the grant of one proxy.
   *
   * @param budget the connections that the server accepts
   * @param primary whether the server is the primary, whose reserve is granted as well
   * @param proxy the proxy that sent the request
   * @param sequence the sequence number of the request; a request whose number is not higher than
   *     the last one is ignored
   * @param held the maximum number of connections that the proxy holds or may open before it
   *     receives the reply
   * @param wanted the connections that the proxy has demand for
   * @param useful the further connections that save the proxy from opening new ones; granted only
   *     from what nobody has demand for, within the steady-state limit
   * @param nowNanos the current time of the monotonic clock
   * @return the connections that the proxy may hold for one lease from the time of its request; 0
   *     if the request is ignored
   */
  public int renew(
      int budget,
      boolean primary,
      ProxyId proxy,
      long sequence,
      int held,
      int wanted,
      int useful,
      long nowNanos) {
    entries.values().removeIf(entry -> entry.expiresAtNanos - nowNanos <= 0);
    Entry entry = entries.get(proxy);
    if (entry != null && sequence <= entry.sequence) {
      // A newer request arrived first and holds later data; the proxy ignores this reply.
      return 0;
    }
    boolean quarantine = quarantineEndNanos - nowNanos > 0;
    int presumedHeld = presumedHeld(entry, held, quarantine);
    Entry renewed =
        new Entry(
            sequence,
            presumedHeld,
            Math.max(0, wanted),
            Math.max(0, useful),
            nowNanos + leaseNanos());
    entries.put(proxy, renewed);
    int target = shares(budget, primary).getOrDefault(proxy, 0);
    int free = options.grantable(budget, primary) - maxInUseByOthers(proxy);
    int granted = Math.max(0, Math.min(target, free));
    if (quarantine) {
      granted = Math.min(granted, presumedHeld);
    }
    renewed.maxInUse = Math.max(presumedHeld, granted);
    return granted;
  }

  /**
   * Returns the presumed maximum of the connections that the proxy holds. If the ledger has no
   * entry, only an earlier leader can have issued a grant that is still valid: a grant of this
   * ledger has expired, and it expires at the proxy first.
   */
  private static int presumedHeld(Entry entry, int held, boolean quarantine) {
    if (entry != null) {
      return Math.min(held, entry.maxInUse);
    }
    return quarantine ? held : 0;
  }

  /** Returns the maximum number of connections that all proxies may be using. */
  public int maxInUse(long nowNanos) {
    return entries.values().stream()
        .filter(entry -> entry.expiresAtNanos - nowNanos > 0)
        .mapToInt(entry -> entry.maxInUse)
        .sum();
  }

  /** Returns whether the quarantine is over and no proxy may be using a connection. */
  public boolean isUnused(long nowNanos) {
    return maxInUse(nowNanos) == 0 && quarantineEndNanos - nowNanos <= 0;
  }

  private SortedMap<ProxyId, Integer> shares(int budget, boolean primary) {
    Map<ProxyId, Integer> wanted = new TreeMap<>();
    entries.forEach((proxy, entry) -> wanted.put(proxy, entry.wanted));
    SortedMap<ProxyId, Integer> shares =
        GrantAllocation.allocate(available(budget, primary), options.floor(), wanted);
    addUseful(budget, shares);
    return shares;
  }

  /** Adds connections that nobody has demand for, up to the steady-state limit. */
  private void addUseful(int budget, SortedMap<ProxyId, Integer> shares) {
    if (options.hardLimit()) {
      return;
    }
    int allocated = shares.values().stream().mapToInt(Integer::intValue).sum();
    int unused = ReconnectHeadroom.steadyStateLimit(budget) - allocated;
    Map<ProxyId, Integer> useful = new TreeMap<>();
    entries.forEach((proxy, entry) -> useful.put(proxy, entry.useful));
    if (unused > 0) {
      GrantAllocation.allocate(unused, options.floor(), useful)
          .forEach((proxy, added) -> shares.merge(proxy, added, Integer::sum));
    }
  }

  private int available(int budget, boolean primary) {
    int grantable = options.grantable(budget, primary);
    return options.hardLimit()
        ? grantable
        : ReconnectHeadroom.available(budget, grantable, totalWanted());
  }

  private int totalWanted() {
    return entries.values().stream().mapToInt(entry -> entry.wanted).sum();
  }

  /**
   * Returns how many granted connections exceed the count that lets all hosts reconnect after a
   * power loss; 0 if grants are a hard limit.
   */
  public int grantedBeyondHeadroom(int budget, long nowNanos) {
    return options.hardLimit()
        ? 0
        : Math.max(0, maxInUse(nowNanos) - ReconnectHeadroom.steadyStateLimit(budget));
  }

  private int maxInUseByOthers(ProxyId proxy) {
    return entries.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(proxy))
        .mapToInt(entry -> entry.getValue().maxInUse)
        .sum();
  }

  private long leaseNanos() {
    return options.lease().toNanos();
  }

  private static final class Entry {
    final long sequence;
    final int wanted;
    final int useful;
    final long expiresAtNanos;
    int maxInUse;

    Entry(long sequence, int maxInUse, int wanted, int useful, long expiresAtNanos) {
      this.sequence = sequence;
      this.useful = useful;
      this.maxInUse = maxInUse;
      this.wanted = wanted;
      this.expiresAtNanos = expiresAtNanos;
    }
  }
}
