package org.alderyard.cli.local;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The size of a local system.
 *
 * @param hosts the entry hosts; the first ones are control hosts too
 * @param controlHosts how many hosts have a data folder
 * @param groupCount the database groups, of three stand-in servers each
 * @param linked whether hosts and servers are reached through links that faults can be done to
 * @param applyLagMillis how long an entry waits on a replica before reads show it
 */
public record SystemPlan(
    int hosts, int controlHosts, int groupCount, boolean linked, int applyLagMillis) {

  /** Returns the names of the groups. */
  public List<String> groups() {
    return IntStream.rangeClosed(1, groupCount).mapToObj(number -> "group-" + number).toList();
  }
}
