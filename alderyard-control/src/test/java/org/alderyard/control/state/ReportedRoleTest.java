package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.ServerExpiry;
import org.alderyard.protocol.generated.state.Endpoint;
import org.alderyard.protocol.generated.state.Server;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Servers that report their role: the primary of a group, deregistration and outdated reports. */
class ReportedRoleTest {
  private static final GroupId GROUP = new GroupId("g1");

  private final ControlState state = new ControlState(change -> {});
  private long index;

  @BeforeEach
  void configure() {
    apply(
        Command.newBuilder()
            .setReplaceConfiguration(ConfigurationStateTest.configuration(1, "one", "g1")));
  }

  private void apply(Command.Builder command) {
    state.apply(++index, command.build().toByteString());
  }

  private void announce(String id, long incarnation, int port, boolean primary, boolean leaving) {
    Server server =
        Server.newBuilder()
            .setId(id)
            .setIncarnation(incarnation)
            .setGroup("g1")
            .setZone("z")
            .setAddress(Endpoint.newBuilder().setAddress("10.0.0.1").setPort(port))
            .build();
    apply(
        Command.newBuilder()
            .setAnnouncement(
                Announcement.newBuilder()
                    .setServer(server)
                    .setLeaving(leaving)
                    .setReportsRole(true)
                    .setPrimary(primary)
                    .setLeaseMillis(6_000)));
  }

  private Optional<String> primary() {
    return state.view().group(GROUP).flatMap(GroupState::primary).map(ServerId::value);
  }

  private Optional<ServerStatus> status(String id) {
    return state.view().server(new ServerId(id)).map(ServerState::status);
  }

  @Test
  void serverThatBecomesPrimaryIsPrimaryOfItsGroup() {
    announce("s1", 1, 1, true, false);
    announce("s2", 1, 2, false, false);
    assertThat(primary()).hasValue("s1");
    announce("s2", 1, 2, true, false);
    assertThat(primary()).hasValue("s2");
  }

  @Test
  void replacedPrimaryThatStillReportsPrimaryRoleChangesNothing() {
    // The primary is cut off and replaced, but its heartbeats still reach a control host and report
    // the primary role. Requests must not be routed to it again.
    announce("s1", 1, 1, true, false);
    announce("s2", 1, 2, true, false);
    announce("s1", 1, 1, true, false);

    assertThat(primary()).hasValue("s2");
  }

  @Test
  void primaryAnnouncedBeforeConfigurationBecomesPrimaryOfGroup() {
    announce("s9", 1, 9, true, false);
    apply(
        Command.newBuilder()
            .setReplaceConfiguration(ConfigurationStateTest.configuration(2, "two", "g1")));

    assertThat(primary()).hasValue("s9");
  }

  @Test
  void deregisteredServerReturnsOnlyWithGreaterIncarnation() {
    // A heartbeat that was sent before the deregistration arrives after it. Accepting it would
    // route requests to a stopped process.
    announce("s1", 1, 1, false, true);
    apply(
        Command.newBuilder()
            .setServerExpiry(ServerExpiry.newBuilder().setServer("s1").setSaidGoodbye(true)));
    announce("s1", 1, 1, false, false);
    assertThat(status("s1")).hasValue(ServerStatus.GONE);

    announce("s1", 2, 1, false, false);
    assertThat(status("s1")).hasValue(ServerStatus.ACTIVE);
  }

  @Test
  void addressBelongsToServerWithGreatestIncarnation() {
    // A delayed heartbeat of a crashed server arrives after another server has started at its
    // address.
    announce("old", 5, 1, true, false);
    announce("new", 9, 1, false, false);
    announce("old", 5, 1, true, false);

    assertThat(status("old")).isEmpty();
    assertThat(status("new")).hasValue(ServerStatus.ACTIVE);
  }

  @Test
  void endOfLeaseMakesLeavingServerGoneAndActiveServerExpired() {
    announce("s1", 1, 1, false, true);
    announce("s2", 1, 2, false, false);
    for (String id : new String[] {"s1", "s2"}) {
      apply(
          Command.newBuilder()
              .setServerExpiry(ServerExpiry.newBuilder().setServer(id).setIncarnation(1)));
    }

    assertThat(status("s1")).hasValue(ServerStatus.GONE);
    assertThat(status("s2")).hasValue(ServerStatus.EXPIRED);
  }
}
