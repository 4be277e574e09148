package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Selection of the voters for a cluster whose control hosts are not listed in the settings.
 *
 * @param voterCount number of voters; 2N + 1 voters tolerate the loss of N
 * @param mayFound whether this host may found the cluster with the listed members. True only at the
 *     very first start, since a host with a wiped disk must join instead.
 * @param controlHosts supplies the inner addresses of the currently known control hosts
 */
public record OpenMembership(
    int voterCount, boolean mayFound, Supplier<List<InetSocketAddress>> controlHosts) {

  /** Creates the selection; {@code controlHosts} must not be null. */
  public OpenMembership {
    Objects.requireNonNull(controlHosts);
  }
}
