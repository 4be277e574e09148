package org.alderyard.proxy.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.HostId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;

/** Orders counters by their distance from this host; silent ones come last. Thread-safe. */
final class CounterOrder {
  /** How long a counter that did not reply is asked after the others. */
  private static final long SILENT_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final HostState self;
  private final MonotonicClock clock;
  private final Map<HostId, Long> silentSinceNanos = new ConcurrentHashMap<>();

  CounterOrder(HostState self, MonotonicClock clock) {
    this.self = self;
    this.clock = clock;
  }

  /** Records whether another host replied. */
  void recordReply(HostState host, boolean silent) {
    if (silent) {
      silentSinceNanos.put(host.id(), clock.nowNanos());
    } else {
      silentSinceNanos.remove(host.id());
    }
  }

  /** Sorts counters: this host, then those in its availability zone; silent ones last. */
  List<HostState> nearestFirst(List<HostState> all) {
    List<HostState> sorted = new ArrayList<>(all);
    sorted.sort(
        Comparator.comparing(this::isSilent)
            .thenComparing(host -> !host.id().equals(self.id()))
            .thenComparing(host -> !host.zone().equals(self.zone())));
    return sorted;
  }

  private boolean isSilent(HostState host) {
    Long since = silentSinceNanos.get(host.id());
    return since != null && clock.nowNanos() - since < SILENT_BACKOFF_NANOS;
  }
}
