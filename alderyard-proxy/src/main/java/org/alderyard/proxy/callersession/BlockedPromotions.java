package org.alderyard.proxy.callersession;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.GroupId;

/**
 * The groups whose lost primary the control leader can't replace at present.
 *
 * <p>Thread-safe; reads no clock.
 */
final class BlockedPromotions {
  /** The time for which a report of the leader counts; one comes about every 100 ms. */
  private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Map<GroupId, Long> reportedNanos = new ConcurrentHashMap<>();

  /** Replaces the blocked groups by those of a new report. */
  void update(Collection<GroupId> blocked, long nowNanos) {
    reportedNanos.keySet().retainAll(blocked);
    blocked.forEach(group -> reportedNanos.put(group, nowNanos));
  }

  /** Returns whether the leader has recently reported the group as blocked. */
  boolean contains(GroupId group, long nowNanos) {
    Long reported = reportedNanos.get(group);
    return reported != null && nowNanos - reported <= MAX_AGE_NANOS;
  }
}
