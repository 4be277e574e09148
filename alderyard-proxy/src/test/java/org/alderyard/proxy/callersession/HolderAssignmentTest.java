package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.OrganisationState;
import org.alderyard.common.view.Organisations;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.proxy.pool.ConnectionSharing;
import org.junit.jupiter.api.Test;

class HolderAssignmentTest {
  private static final int ZONES = 5;
  private static final int GROUPS = 14;
  private static final int CONNECTIONS_PER_SERVER = 75;

  private final HolderAssignment assignment = new HolderAssignment();

  @Test
  void allHostsHoldConnectionsIfServersAcceptEnough() {
    assertThat(assignment.holders(view(CONNECTIONS_PER_SERVER * 2 / 3, 1), group(0))).isEmpty();
  }

  /** Guards against a new connection for nearly each statement of a host with few of them. */
  @Test
  void organisationsMeetAtHoldersIfSharedByWeight() {
    View.Editor editor = view(CONNECTIONS_PER_SERVER / 2, 1).edit();
    editor.configuration(configuration(CONNECTIONS_PER_SERVER));
    View view = editor.at(new ViewVersion(1, 2));
    HolderAssignment weighted = new HolderAssignment(ConnectionSharing.WEIGHTED);

    assertThat(weighted.holders(view, group(0)).orElseThrow().size()).isAtMost(2 * ZONES);
    assertThat(assignment.holders(view, group(0))).isEmpty();
    assertThat(weighted.holders(view(CONNECTIONS_PER_SERVER / 2, 1), group(0))).isEmpty();
  }

  private static ConfigurationState configuration(int organisations) {
    List<OrganisationState> all = new ArrayList<>();
    for (int i = 0; i < organisations; i++) {
      all.add(new OrganisationState("o" + i, List.of(), 1, Optional.empty()));
    }
    Bytes none = Bytes.of(new byte[0]);
    return new ConfigurationState(
        1,
        List.of(),
        new TreeMap<>(),
        new TreeMap<>(),
        0,
        0,
        Organisations.of(all),
        none,
        false,
        none);
  }

  @Test
  void eachZoneHasHolders() {
    List<HostState> holders = assignment.holders(view(100, 5), group(0)).orElseThrow();

    assertThat(holders.stream().map(HostState::zone).collect(Collectors.toSet())).hasSize(ZONES);
    assertThat(holders.size()).isAtMost(2 * ZONES);
  }

  @Test
  void holdersOfAllGroupsAreSpreadOverTheFleet() {
    // A host that held connections to most groups would be overloaded, and its failure would affect
    // all of them.
    View view = view(100, 5);
    Set<HostId> all = new HashSet<>();
    for (int i = 0; i < GROUPS; i++) {
      assignment.holders(view, group(i)).orElseThrow().forEach(holder -> all.add(holder.id()));
    }

    assertThat(all.size()).isAtLeast(60);
  }

  @Test
  void controlHostsAreNotHolders() {
    View view = view(100, 5);
    for (int i = 0; i < GROUPS; i++) {
      assertThat(
              assignment.holders(view, group(i)).orElseThrow().stream()
                  .noneMatch(host -> host.control()))
          .isTrue();
    }
  }

  @Test
  void removedHostChangesOnlyItsOwnAssignment() {
    View before = view(100, 5);
    List<HostState> holders = assignment.holders(before, group(3)).orElseThrow();
    View.Editor editor = before.edit();
    editor.hosts().remove(holders.get(0).id());
    List<HostState> after =
        assignment.holders(editor.at(new ViewVersion(1, 2)), group(3)).orElseThrow();

    Set<HostState> kept = new HashSet<>(holders);
    kept.retainAll(after);
    assertThat(kept).hasSize(holders.size() - 1);
  }

  @Test
  void drainingHostIsNotHolder() {
    View before = view(100, 5);
    HostState drainingHost = assignment.holders(before, group(3)).orElseThrow().get(0);
    View.Editor editor = before.edit();
    editor
        .hosts()
        .put(drainingHost.id(), host(drainingHost.id().value(), drainingHost.zone(), false, true));

    assertThat(
            assignment.holders(editor.at(new ViewVersion(1, 2)), group(3)).orElseThrow().stream()
                .noneMatch(holder -> holder.id().equals(drainingHost.id())))
        .isTrue();
  }

  @Test
  void holdersLeaveConnectionsForHostsThatTakeOver() {
    View view = view(100, 5);
    int holders = assignment.holders(view, group(0)).orElseThrow().size();
    int connections = holders * HolderAssignment.initialConnections(view, group(0), holders);

    assertThat(connections).isAtMost(CONNECTIONS_PER_SERVER / 2);
  }

  private static GroupId group(int number) {
    return new GroupId("g" + number);
  }

  private static View view(int hosts, int control) {
    View.Editor editor = View.EMPTY.edit();
    for (int i = 0; i < GROUPS; i++) {
      editor
          .groups()
          .put(
              group(i),
              new GroupState(group(i), 1, Optional.empty(), List.of(), 5, CONNECTIONS_PER_SERVER));
    }
    for (int i = 0; i < hosts; i++) {
      HostState host = host("h" + i, new ZoneName("z" + i % ZONES), i < control, false);
      editor.hosts().put(host.id(), host);
    }
    return editor.at(new ViewVersion(1, 1));
  }

  private static HostState host(String id, ZoneName zone, boolean control, boolean draining) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7_000);
    return new HostState(new HostId(id), 1, zone, address, address, true, control, draining);
  }
}
