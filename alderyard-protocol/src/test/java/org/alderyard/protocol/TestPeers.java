package org.alderyard.protocol;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.alderyard.common.id.HostId;
import org.alderyard.protocol.wire.ClusterKey;
import org.alderyard.protocol.wire.ProtocolOptions;

/** Creates options of hosts of one cluster, which accept each other. */
public final class TestPeers {
  private static final int MAX_OUTSTANDING = 16;
  private static final byte[] KEY = "0123456789abcdef0123".getBytes(StandardCharsets.UTF_8);

  private TestPeers() {}

  /** Returns the options of a host with the given connect timeout. */
  public static ProtocolOptions options(String host, Duration connectTimeout) {
    return new ProtocolOptions(
        "c", new HostId(host), 1, new ClusterKey(KEY), connectTimeout, MAX_OUTSTANDING);
  }
}
