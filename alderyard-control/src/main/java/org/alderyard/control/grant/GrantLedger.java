package org.alderyard.control.grant;

import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The grants of one server's connections. Not safe for several threads.
 *
 * <p>Guards against more connections than the server accepts, which it would refuse or break, at
 * the moments when grants move: a reply is lost, a proxy dies, is cut off or restarts, the leader
 * changes. Each grant counts until its proxy has said that it holds less, or its lease is over;
 * only what is free of that is granted. A proxy's lease ends before it ends here, since the proxy
 * counts from before it asked.
 */
public final class GrantLedger {
  private final GrantOptions options;
  private final long quarantineUntilNanos;
  private final SortedMap<ProxyId, Entry> entries = new TreeMap<>();

  /**
   * Creates the ledger of a new leader.
   *
   * @param leaderSinceNanos a time at which this host was the leader already
   */
  public GrantLedger(GrantOptions options, long leaderSinceNanos) {
    this.options = Objects.requireNonNull(options);
    this.quarantineUntilNanos = leaderSinceNanos + options.quarantine().toNanos();
  }

  /**
   * Renews the grant of one proxy.
   *
   * @param budget the connections that the server accepts
   * @param primary whether the server is the primary, which gets the reserve as well
   * @param proxy the proxy
   * @param sequence the number of the request; an older one than the last is void
   * @param held the most connections that the proxy has or may open until it gets the reply
   * @param wanted the connections that it could use
   * @return the connections that it may have, for the lease from the time of its request
   */
  public int renew(
      int budget,
      boolean primary,
      ProxyId proxy,
      long sequence,
      int held,
      int wanted,
      long nowNanos) {
    entries.values().removeIf(entry -> entry.untilNanos - nowNanos <= 0);
    Entry entry = entries.get(proxy);
    if (entry != null && sequence <= entry.sequence) {
      // Overtaken on the way: the proxy ignores the reply, and what it holds is known better.
      return 0;
    }
    boolean quarantine = quarantineUntilNanos - nowNanos > 0;
    int believed = believed(entry, held, quarantine);
    Entry renewed = new Entry(sequence, believed, Math.max(0, wanted), nowNanos + leaseNanos());
    entries.put(proxy, renewed);
    int target = shares(budget, primary).getOrDefault(proxy, 0);
    int free = options.grantable(budget, primary) - countedWithout(proxy);
    int granted = Math.max(0, Math.min(target, free));
    if (quarantine) {
      granted = Math.min(granted, believed);
    }
    renewed.counted = Math.max(believed, granted);
    return granted;
  }

  /**
   * What the proxy may have now. An unknown grant is one of an earlier leader, or none: its lease
   * here is over, and a proxy's own lease ends before that.
   */
  private static int believed(Entry entry, int held, boolean quarantine) {
    if (entry != null) {
      return Math.min(held, entry.counted);
    }
    return quarantine ? held : 0;
  }

  /** Returns the connections that may be in use, at most. */
  public int counted(long nowNanos) {
    return entries.values().stream()
        .filter(entry -> entry.untilNanos - nowNanos > 0)
        .mapToInt(entry -> entry.counted)
        .sum();
  }

  /** Returns whether no grant holds any more. */
  public boolean unused(long nowNanos) {
    return counted(nowNanos) == 0 && quarantineUntilNanos - nowNanos <= 0;
  }

  private SortedMap<ProxyId, Integer> shares(int budget, boolean primary) {
    Map<ProxyId, Integer> wanted = new TreeMap<>();
    entries.forEach((proxy, entry) -> wanted.put(proxy, entry.wanted));
    return GrantAllocation.share(available(budget, primary), options.floor(), wanted);
  }

  private int available(int budget, boolean primary) {
    int grantable = options.grantable(budget, primary);
    return options.binding() ? grantable : ReturnRoom.available(budget, grantable, wantedByAll());
  }

  private int wantedByAll() {
    return entries.values().stream().mapToInt(entry -> entry.wanted).sum();
  }

  /** Returns how many more are granted by now than leave room for a return of all hosts. */
  public int beyondReturnRoom(int budget, long nowNanos) {
    return options.binding() ? 0 : Math.max(0, counted(nowNanos) - ReturnRoom.calm(budget));
  }

  private int countedWithout(ProxyId proxy) {
    return entries.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(proxy))
        .mapToInt(entry -> entry.getValue().counted)
        .sum();
  }

  private long leaseNanos() {
    return options.lease().toNanos();
  }

  private static final class Entry {
    final long sequence;
    final int wanted;
    final long untilNanos;
    int counted;

    Entry(long sequence, int counted, int wanted, long untilNanos) {
      this.sequence = sequence;
      this.counted = counted;
      this.wanted = wanted;
      this.untilNanos = untilNanos;
    }
  }
}
