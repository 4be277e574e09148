package org.alderyard.cli.local;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The size and options of a local system.
 *
 * @param hosts number of entry hosts; the first {@code controlHosts} are also control hosts
 * @param controlHosts number of hosts that have a data folder
 * @param groupCount number of database groups, each with three stand-in servers
 * @param linked whether connections pass through links that can inject network faults
 * @param applyLagMillis delay until reads on a replica see a new log entry
 * @param replaceable whether hosts find the control hosts through seeds, so that a control host can
 *     be replaced by one at another address
 */
public record SystemPlan(
    int hosts,
    int controlHosts,
    int groupCount,
    boolean linked,
    int applyLagMillis,
    boolean replaceable) {

  /** Returns the names of the database groups. */
  public List<String> groups() {
    return IntStream.rangeClosed(1, groupCount).mapToObj(number -> "group-" + number).toList();
  }
}
