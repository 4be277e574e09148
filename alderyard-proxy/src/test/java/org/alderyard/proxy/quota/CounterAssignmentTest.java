package org.alderyard.proxy.quota;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;
import org.junit.jupiter.api.Test;

class CounterAssignmentTest {
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 7_000);
  private final CounterAssignment assignment = new CounterAssignment(3);

  private static List<HostState> hosts(int zones, int perZone, int controlPerZone) {
    List<HostState> all = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      for (int number = 0; number < perZone; number++) {
        all.add(
            new HostState(
                new HostId("h" + zone + "-" + number),
                1,
                new ZoneName("z" + zone),
                ADDRESS,
                ADDRESS,
                true,
                number < controlPerZone,
                false));
      }
    }
    return all;
  }

  private List<HostState> countersOf(String organisation, List<HostState> hosts) {
    return assignment.countersOf(organisation, assignment.counters(hosts));
  }

  /** With one counter, its loss would refuse all operations. */
  @Test
  void eachOrganisationHasSeveralCounters() {
    for (int zones = 1; zones <= 5; zones++) {
      assertThat(countersOf("a", hosts(zones, 6, 1)).size()).isAtLeast(3);
    }
    assertThat(countersOf("a", hosts(1, 1, 1))).hasSize(1);
  }

  /** After a common restart, hosts wait for their counters; control hosts are back first. */
  @Test
  void controlHostsCountFirst() {
    Map<ZoneName, List<HostState>> counters = assignment.counters(hosts(3, 8, 1));

    counters.values().forEach(zone -> assertThat(zone.get(0).control()).isTrue());
  }

  @Test
  void organisationsAreSpreadOverCountersOfLargeZone() {
    List<HostState> hosts = hosts(3, 40, 0);
    Set<HostState> used = new HashSet<>();
    for (int number = 0; number < 100; number++) {
      used.addAll(countersOf("o" + number, hosts));
    }

    assertThat(used.size()).isAtLeast(12);
  }

  /** If the loss of a host moved all organisations, their counts would begin anew. */
  @Test
  void lossOfHostMovesFewOrganisations() {
    List<HostState> before = hosts(3, 40, 0);
    List<HostState> after = before.subList(1, before.size());
    int moved = 0;
    for (int number = 0; number < 200; number++) {
      String organisation = "o" + number;
      moved += countersOf(organisation, before).equals(countersOf(organisation, after)) ? 0 : 1;
    }

    assertThat(moved).isAtMost(60);
  }
}
