package org.alderyard.daemon;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How a host finds the others where the settings do not list the control hosts.
 *
 * @param seeds inner addresses of a few hosts
 * @param mayFound whether the control hosts among the seeds found the cluster
 * @param borneLosses how many control hosts may be lost at the same time
 */
record OpenClusterOptions(List<InetSocketAddress> seeds, boolean mayFound, int borneLosses) {

  /** Returns how many control hosts vote: a majority must be left after the losses. */
  int voters() {
    return 2 * borneLosses + 1;
  }
}
