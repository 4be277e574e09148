package org.alderyard.protocol.wire;

import java.time.Duration;
import java.util.Objects;
import org.alderyard.common.id.HostId;

/**
 * What both ends of the inner protocol need to know.
 *
 * @param clusterId the name of the cluster; peers of another one are rejected
 * @param host the name of this host
 * @param incarnation grows with each start of this process
 * @param clusterKey the secret that all hosts share
 * @param connectTimeout how long a connection and its handshake may take
 * @param maxOutstanding the most requests without a reply on one connection
 */
public record ProtocolOptions(
    String clusterId,
    HostId host,
    long incarnation,
    ClusterKey clusterKey,
    Duration connectTimeout,
    int maxOutstanding) {
  /** The largest frame before the peer is authenticated, in bytes. */
  public static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;

  /** The largest frame of an authenticated peer, in bytes. */
  public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  /** The protocol versions that this build speaks. */
  public static final int PROTOCOL_MIN = 1;

  /** The newest protocol version that this build speaks. */
  public static final int PROTOCOL_MAX = 1;

  /** Checks. */
  public ProtocolOptions {
    Objects.requireNonNull(clusterId);
    Objects.requireNonNull(host);
    Objects.requireNonNull(clusterKey);
    Objects.requireNonNull(connectTimeout);
  }

  /** Returns the same options with another time for a connection and its handshake. */
  public ProtocolOptions connectingWithin(Duration timeout) {
    return new ProtocolOptions(clusterId, host, incarnation, clusterKey, timeout, maxOutstanding);
  }
}
