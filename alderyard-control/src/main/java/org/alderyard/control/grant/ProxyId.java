package org.alderyard.control.grant;

import java.util.Objects;
import org.alderyard.common.id.HostId;

/**
 * Identifies one incarnation of a proxy. Connections of an earlier incarnation may stay open at a
 * server for some time after the proxy restarts.
 *
 * @param host the host of the proxy
 * @param incarnation the incarnation of the host
 */
public record ProxyId(HostId host, long incarnation) implements Comparable<ProxyId> {

  /** Creates an id; {@code host} must not be null. */
  public ProxyId {
    Objects.requireNonNull(host);
  }

  @Override
  public int compareTo(ProxyId other) {
    int byHost = host.compareTo(other.host);
    return byHost != 0 ? byHost : Long.compare(incarnation, other.incarnation);
  }

  /** Implemented explicitly for the reason given in {@link org.alderyard.common.id}. */
  @Override
  public boolean equals(Object other) {
    return other instanceof ProxyId that
        && host.equals(that.host)
        && incarnation == that.incarnation;
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + Long.hashCode(incarnation);
  }
}
