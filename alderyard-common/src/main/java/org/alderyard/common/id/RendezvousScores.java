package org.alderyard.common.id;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The scores of hosts for a group in a rendezvous hash: every host computes the same ones, and few
 * choices move when a host comes or goes. Safe for several threads.
 */
public final class RendezvousScores {
  private final Map<HostId, Long> hostHashes = new ConcurrentHashMap<>();

  /** Returns what a group counts with in {@link #score}. */
  public static long groupHash(GroupId group) {
    return hash(group.value().getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the score of a host; the highest one is chosen first.
   *
   * @param groupHash what {@link #groupHash} returned
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
