package org.alderyard.control.grant;

import java.util.Objects;
import org.alderyard.common.id.HostId;

/**
 * One start of a proxy: connections of an earlier start may outlive it for a while.
 *
 * @param host the host
 * @param incarnation its start
 */
public record ProxyId(HostId host, long incarnation) implements Comparable<ProxyId> {

  /** Checks. */
  public ProxyId {
    Objects.requireNonNull(host);
  }

  @Override
  public int compareTo(ProxyId other) {
    int byHost = host.compareTo(other.host);
    return byHost != 0 ? byHost : Long.compare(incarnation, other.incarnation);
  }

  /** Written out as in {@link org.alderyard.common.id}. */
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
