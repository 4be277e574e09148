package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiFunction;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;
import org.junit.jupiter.api.Test;

/** Load: many organisations of very different size, and few connections at each holder. */
class HolderAffinityTest {
  private static final GroupId GROUP = new GroupId("g1");
  private static final int STATEMENTS = 40_000;

  private final HolderAffinity affinity = new HolderAffinity();

  private static List<HostState> holders(int zones, int perZone) {
    List<HostState> all = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      for (int number = 0; number < perZone; number++) {
        all.add(
            new HostState(
                new HostId("h" + zone + "-" + number),
                1,
                new ZoneName("z" + zone),
                new InetSocketAddress("127.0.0.1", 7_000),
                new InetSocketAddress("127.0.0.1", 7_000),
                true,
                false,
                false));
      }
    }
    return all;
  }

  private static ConnectionOwner owner(int number) {
    return new ConnectionOwner("o" + number);
  }

  /** Returns the share of statements for which a holder has to open a connection. */
  private static double openedShare(
      int organisations,
      int connectionsPerHolder,
      BiFunction<ConnectionOwner, Random, HostState> choice) {
    Random random = new Random(11);
    Map<HostId, LinkedHashMap<ConnectionOwner, Boolean>> connections = new HashMap<>();
    int opened = 0;
    for (int statement = 0; statement < STATEMENTS; statement++) {
      // The organisation with rank n has a demand in proportion to 1/n.
      int rank = (int) Math.pow(organisations + 1.0, random.nextDouble()) - 1;
      ConnectionOwner owner = owner(rank);
      LinkedHashMap<ConnectionOwner, Boolean> held =
          connections.computeIfAbsent(
              choice.apply(owner, random).id(), id -> new LinkedHashMap<>(16, 0.75f, true));
      if (held.put(owner, true) == null) {
        opened++;
      }
      if (held.size() > connectionsPerHolder) {
        held.remove(held.keySet().iterator().next());
      }
    }
    return (double) opened / STATEMENTS;
  }

  /** Statements that are spread over the holders replace connections all the time. */
  @Test
  void fewerConnectionsAreOpenedIfStatementsOfOrganisationMeet() {
    for (int[] size : new int[][] {{81, 6, 4}, {2, 3, 4}, {1_000, 30, 4}}) {
      int organisations = size[0];
      List<HostState> all = holders(3, size[1] / 3);
      double spread =
          openedShare(
              organisations, size[2], (owner, random) -> all.get(random.nextInt(all.size())));
      double meeting =
          openedShare(
              organisations,
              size[2],
              (owner, random) -> affinity.preferred(GROUP, owner, all).orElseThrow());

      assertThat(meeting).isAtMost(spread * 0.75);
    }
  }

  @Test
  void callersWithoutOrganisationHaveNoPreferredHolder() {
    assertThat(affinity.preferred(GROUP, ConnectionOwner.NONE, holders(3, 2))).isEmpty();
  }

  /** If the loss of a holder moved all organisations, all connections would be opened anew. */
  @Test
  void lossOfHolderMovesOnlyItsOrganisations() {
    List<HostState> before = holders(3, 2);
    List<HostState> after = before.subList(1, before.size());
    for (int number = 0; number < 500; number++) {
      HostState preferred = affinity.preferred(GROUP, owner(number), before).orElseThrow();
      if (!preferred.equals(before.get(0))) {
        assertThat(affinity.preferred(GROUP, owner(number), after).orElseThrow())
            .isEqualTo(preferred);
      }
    }
  }

  @Test
  void organisationsAreSpreadOverHolders() {
    Map<HostState, Integer> counts = new HashMap<>();
    List<HostState> all = holders(3, 2);
    for (int number = 0; number < 600; number++) {
      counts.merge(affinity.preferred(GROUP, owner(number), all).orElseThrow(), 1, Integer::sum);
    }
    counts.values().forEach(count -> assertThat(count).isAtLeast(60));
  }
}
