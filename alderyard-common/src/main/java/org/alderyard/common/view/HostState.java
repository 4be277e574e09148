package org.alderyard.common.view;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;

/**
 * A host of the system.
 *
 * @param id the name
 * @param incarnation grows with each start of the process
 * @param zone its availability zone
 * @param innerAddress where it listens for the other hosts
 * @param callerAddress where it listens for callers
 * @param proxy whether it serves callers
 * @param control whether it is one of the hosts with a disk
 * @param draining whether it takes no new work
 */
public record HostState(
    HostId id,
    long incarnation,
    ZoneName zone,
    InetSocketAddress innerAddress,
    InetSocketAddress callerAddress,
    boolean proxy,
    boolean control,
    boolean draining) {

  /** Checks. */
  public HostState {
    Objects.requireNonNull(id);
    Objects.requireNonNull(zone);
    Objects.requireNonNull(innerAddress);
    Objects.requireNonNull(callerAddress);
  }

  /** Returns whether it is a proxy that new work may be given to. */
  public boolean takesWork() {
    return proxy && !draining;
  }
}
