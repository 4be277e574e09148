package org.alderyard.protocol.wire;

import java.time.Duration;
import java.util.Objects;
import org.alderyard.common.id.HostId;

/**
 * Options of the inner protocol for both ends of a connection.
 *
 * @param clusterId the name of the cluster; peers of other clusters are rejected
 * @param host the name of this host
 * @param incarnation a number that grows with each start of this process
 * @param clusterKey the shared secret of all hosts
 * @param connectTimeout the time in which a connection and its handshake must complete
 * @param maxOutstanding the maximum number of requests without a reply on one connection
 */
public record ProtocolOptions(
    String clusterId,
    HostId host,
    long incarnation,
    ClusterKey clusterKey,
    Duration connectTimeout,
    int maxOutstanding) {
  /** The maximum size of a frame before the peer is authenticated, in bytes. */
  public static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;

  /** The maximum size of a frame of an authenticated peer, in bytes. */
  public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  /** The oldest protocol version that this build supports. */
  public static final int PROTOCOL_MIN = 1;

  /** The newest protocol version that this build supports. */
  public static final int PROTOCOL_MAX = PayloadCompression.PROTOCOL;

  /** Checks that no component is null. */
  public ProtocolOptions {
    Objects.requireNonNull(clusterId);
    Objects.requireNonNull(host);
    Objects.requireNonNull(clusterKey);
    Objects.requireNonNull(connectTimeout);
  }

  /** Returns a copy of these options with another connect timeout. */
  public ProtocolOptions withConnectTimeout(Duration timeout) {
    return new ProtocolOptions(clusterId, host, incarnation, clusterKey, timeout, maxOutstanding);
  }
}
