package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * How the voters are chosen where the control hosts are not listed in the settings.
 *
 * @param voters how many hosts vote; 2N + 1 bear the loss of N
 * @param mayFound whether this host may found the cluster with the listed members; only at the very
 *     first start, as a host with a wiped disk must join instead
 * @param controlHosts the inner addresses of the control hosts that are known now
 */
public record OpenMembership(
    int voters, boolean mayFound, Supplier<List<InetSocketAddress>> controlHosts) {

  /** Checks. */
  public OpenMembership {
    Objects.requireNonNull(controlHosts);
  }
}
