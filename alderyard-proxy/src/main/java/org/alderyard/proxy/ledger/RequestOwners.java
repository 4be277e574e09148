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
 * Determines which proxy owns a request ID and since when this proxy has owned it without
 * interruption.
 *
 * <p>Thread-safe; no other lock is acquired while its lock is held.
 */
final class RequestOwners {
  private final HostId self;
  private final long retentionMillis;
  // Guarded by this; newest first, never empty.
  private final Deque<Epoch> epochs = new ArrayDeque<>();
  private ViewVersion version = ViewVersion.NONE;

  RequestOwners(HostId self, Duration retention, long nowMillis) {
    this.self = self;
    this.retentionMillis = retention.toMillis();
    epochs.push(new Epoch(nowMillis, new TreeSet<>()));
  }

  /**
   * Records a view that this proxy starts to use; a view that is not newer than the last is
   * ignored.
   */
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
    while (epochs.size() > 1 && epochs.peekLast().sinceMillis < nowMillis - retentionMillis) {
      epochs.removeLast();
    }
  }

  /**
   * Restarts the ownership of all IDs of this proxy at the given time.
   *
   * <p>While this proxy was isolated, another proxy may have owned the same IDs under a view that
   * this proxy never received. Without the reset, this proxy would run requests again that the
   * other proxy ran.
   */
  synchronized void resetOwnership(long nowMillis) {
    SortedSet<HostId> proxies = epochs.peekFirst().proxies;
    epochs.clear();
    epochs.push(new Epoch(nowMillis, proxies));
  }

  /** Returns the owner of a request ID in a view; empty if the view has no live proxy. */
  static Optional<HostId> owner(View view, LedgerKey key) {
    return ownerAmong(liveProxies(view), key);
  }

  /**
   * Returns since when this proxy has owned the ID in every view that it used; empty if it is not
   * the owner.
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
      if (host.acceptsNewWork()) {
        proxies.add(host.id());
      }
    }
    return proxies;
  }

  /**
   * Rendezvous hashing: when a proxy joins or leaves, only the IDs of that proxy change their
   * owner.
   */
  private static Optional<HostId> ownerAmong(SortedSet<HostId> proxies, LedgerKey key) {
    HostId owner = null;
    long ownerScore = 0;
    for (HostId proxy : proxies) {
      String hashInput = proxy + "\n" + key.caller() + "\n" + key.request();
      long score = MurmurHash3.hash128x64(hashInput.getBytes(StandardCharsets.UTF_8))[0];
      if (owner == null || score > ownerScore) {
        owner = proxy;
        ownerScore = score;
      }
    }
    return Optional.ofNullable(owner);
  }

  private record Epoch(long sinceMillis, SortedSet<HostId> proxies) {}
}
