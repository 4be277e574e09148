package org.alderyard.common.view;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;

/**
 * A host of the system.
 *
 * @param id the name
 * @param incarnation a number that grows with each start of the process
 * @param zone the availability zone
 * @param innerAddress the address on which it listens for other hosts
 * @param callerAddress the address on which it listens for callers
 * @param proxy whether it serves callers
 * @param control whether it is a control host, which has a disk
 * @param draining whether it accepts no new work
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

  /** Checks that no component is null. */
  public HostState {
    Objects.requireNonNull(id);
    Objects.requireNonNull(zone);
    Objects.requireNonNull(innerAddress);
    Objects.requireNonNull(callerAddress);
  }

  /** Returns whether this host is a proxy that accepts new work. */
  public boolean acceptsNewWork() {
    return proxy && !draining;
  }
}
