package org.alderyard.daemon;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How a host discovers other hosts when the settings do not list the control hosts.
 *
 * @param seeds inner addresses of some hosts of the cluster
 * @param mayFound whether the control hosts among the seeds may form a new cluster
 * @param toleratedLosses number of control hosts that may fail at the same time
 */
record DiscoveryOptions(List<InetSocketAddress> seeds, boolean mayFound, int toleratedLosses) {

  /**
   * Returns the number of voting control hosts: the smallest number of which a majority remains
   * after {@code toleratedLosses} failures.
   */
  int voters() {
    return 2 * toleratedLosses + 1;
  }
}
