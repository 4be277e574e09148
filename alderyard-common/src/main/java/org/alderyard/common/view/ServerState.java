package org.alderyard.common.view;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;

/**
 * A backend server as the registry knows it.
 *
 * @param id the name
 * @param incarnation grows with each start of the server
 * @param group its group
 * @param zone its availability zone
 * @param address where it listens
 * @param status whether it gets new work
 */
public record ServerState(
    ServerId id,
    long incarnation,
    GroupId group,
    ZoneName zone,
    InetSocketAddress address,
    ServerStatus status) {

  /** Checks. */
  public ServerState {
    Objects.requireNonNull(id);
    Objects.requireNonNull(group);
    Objects.requireNonNull(zone);
    Objects.requireNonNull(address);
    Objects.requireNonNull(status);
  }

  /**
   * Written out as in {@link org.alderyard.common.id}: announcements are compared from the start.
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
