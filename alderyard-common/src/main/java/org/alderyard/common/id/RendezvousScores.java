package org.alderyard.common.id;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Computes the rendezvous hash scores of hosts for database groups. All hosts compute the same
 * scores, and adding or removing a host changes few assignments. Thread-safe.
 */
public final class RendezvousScores {
  private final Map<HostId, Long> hostHashes = new ConcurrentHashMap<>();

  /** Returns the hash of a group, for {@link #score}. */
  public static long groupHash(GroupId group) {
    return nameHash(group.value());
  }

  /** Returns the hash of any name that hosts are assigned to, for {@link #score}. */
  public static long nameHash(String name) {
    return hash(name.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the score of a host for a group; the host with the highest score is preferred.
   *
   * @param groupHash the hash of the group from {@link #groupHash}
   */
  public long score(long groupHash, HostId host) {
    long hostHash =
        hostHashes.computeIfAbsent(host, id -> hash(id.value().getBytes(StandardCharsets.UTF_8)));
    return hash(ByteBuffer.allocate(2 * Long.BYTES).putLong(groupHash).putLong(hostHash).array());
  }

  private static long hash(byte[] bytes) {
    return MurmurHash3.hash128x64(bytes)[0];
  }
}
