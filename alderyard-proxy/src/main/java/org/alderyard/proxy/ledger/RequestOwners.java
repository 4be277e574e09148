package org.alderyard.proxy.ledger;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.TreeSet;
import org.alderyard.backend.LedgerKey;
import org.alderyard.common.id.HostId;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Which proxy owns a request id, and since when this one has owned it without a break.
 *
 * <p>Thread-safe; its own lock is a leaf.
 */
final class RequestOwners {
  private final HostId self;
  private final long keepMillis;
  // Guarded by this; the newest first, never empty.
  private final Deque<Epoch> epochs = new ArrayDeque<>();
  private ViewVersion version = ViewVersion.NONE;

  RequestOwners(HostId self, Duration keep, long nowMillis) {
    this.self = self;
    this.keepMillis = keep.toMillis();
    epochs.push(new Epoch(nowMillis, new TreeSet<>()));
  }

  /** Takes a view that this proxy acts on from now; one older than the last is left aside. */
  synchronized void update(View view, long nowMillis) {
    if (view.version().compareTo(version) <= 0) {
      return;
    }
    version = view.version();
    SortedSet<HostId> proxies = liveProxies(view);
    if (proxies.equals(epochs.peekFirst().proxies)) {
      return;
    }
    epochs.push(new Epoch(nowMillis, proxies));
    while (epochs.size() > 1 && epochs.peekLast().sinceMillis < nowMillis - keepMillis) {
      epochs.removeLast();
    }
  }

  /**
   * Forgets how long this proxy has owned anything.
   *
   * <p>Guards against a proxy that was cut off while its place was taken and given back: it never
   * saw the view in between, and would run again what the other one ran.
   */
  synchronized void viewLeaseLapsed(long nowMillis) {
    SortedSet<HostId> proxies = epochs.peekFirst().proxies;
    epochs.clear();
    epochs.push(new Epoch(nowMillis, proxies));
  }

  /** Returns the owner in a view, if the view has a proxy. */
  static Optional<HostId> owner(View view, LedgerKey key) {
    return ownerAmong(liveProxies(view), key);
  }

  /**
   * Returns since when this proxy has owned the id in every view it has seen; empty if it doesn't.
   */
  synchronized OptionalLong ownedSinceMillis(LedgerKey key) {
    OptionalLong since = OptionalLong.empty();
    for (Epoch epoch : epochs) {
      if (!ownerAmong(epoch.proxies, key).equals(Optional.of(self))) {
        break;
      }
      since = OptionalLong.of(epoch.sinceMillis);
    }
    return since;
  }

  private static SortedSet<HostId> liveProxies(View view) {
    SortedSet<HostId> proxies = new TreeSet<>();
    for (HostState host : view.hosts().values()) {
      if (host.takesWork()) {
        proxies.add(host.id());
      }
    }
    return proxies;
  }

  /** Rendezvous hashing: only the ids of a proxy that comes or goes change their owner. */
  private static Optional<HostId> ownerAmong(SortedSet<HostId> proxies, LedgerKey key) {
    HostId best = null;
    long bestScore = 0;
    for (HostId proxy : proxies) {
      String text = proxy + "\n" + key.caller() + "\n" + key.request();
      long score = MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
      if (best == null || score > bestScore) {
        best = proxy;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  private record Epoch(long sinceMillis, SortedSet<HostId> proxies) {}
}
