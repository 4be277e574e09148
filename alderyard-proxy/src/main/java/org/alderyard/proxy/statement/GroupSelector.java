package org.alderyard.proxy.statement;

import java.nio.charset.StandardCharsets;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.PoolState;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Maps a key to a database group of a pool by rendezvous hashing. The mapping is the same on every
 * proxy.
 */
public final class GroupSelector {

  private GroupSelector() {}

  /** Returns the group that holds the key, or null if the pool has no groups. */
  public static GroupId groupOf(PoolState pool, String key) {
    GroupId best = null;
    long bestScore = Long.MIN_VALUE;
    for (GroupId group : pool.groups()) {
      byte[] bytes = (group.value() + '\n' + key).getBytes(StandardCharsets.UTF_8);
      long score = MurmurHash3.hash128x64(bytes)[0];
      if (best == null || score > bestScore) {
        best = group;
        bestScore = score;
      }
    }
    return best;
  }
}
