package org.alderyard.common.view;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;

/**
 * A backend server as recorded in the registry.
 *
 * @param id the name
 * @param incarnation a number that grows with each start of the server
 * @param group the group of the server
 * @param zone the availability zone
 * @param address the address on which the server listens
 * @param status whether the server receives new work
 */
public record ServerState(
    ServerId id,
    long incarnation,
    GroupId group,
    ZoneName zone,
    InetSocketAddress address,
    ServerStatus status) {

  /** Checks that no component is null. */
  public ServerState {
    Objects.requireNonNull(id);
    Objects.requireNonNull(group);
    Objects.requireNonNull(zone);
    Objects.requireNonNull(address);
    Objects.requireNonNull(status);
  }

  /**
   * Declared explicitly for the reason given in {@link org.alderyard.common.id}: announcements are
   * compared from the start of a host.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof ServerState that
        && id.equals(that.id)
        && incarnation == that.incarnation
        && group.equals(that.group)
        && zone.equals(that.zone)
        && address.equals(that.address)
        && status == that.status;
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(incarnation);
  }
}
