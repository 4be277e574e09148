package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.HostExpiry;
import org.alderyard.protocol.generated.control.HostRegistration;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.control.TicketFault;
import org.alderyard.protocol.generated.control.TicketVerdict;
import org.alderyard.protocol.generated.state.Endpoint;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.Host;
import org.alderyard.protocol.generated.state.HostPolicy;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Pool;
import org.alderyard.protocol.generated.state.Server;
import org.junit.jupiter.api.Test;

/** Tickets: one content per number, complete replacement of objects, and a report of all faults. */
class TicketStateTest {
  private static final int MAX_TICKETS = 3;
  private static final Endpoint ADDRESS =
      Endpoint.newBuilder().setAddress("127.0.0.1").setPort(1).build();

  private final List<ViewChange> changes = new ArrayList<>();
  private ControlState state = new ControlState(changes::add, FailoverHandler.NONE, MAX_TICKETS);
  private long index;

  private TicketAnswer submit(Ticket ticket) throws InvalidProtocolBufferException {
    return TicketAnswer.parseFrom(apply(Command.newBuilder().setTicket(ticket)));
  }

  private ByteString apply(Command.Builder command) {
    return state.apply(++index, command.build().toByteString());
  }

  private static Ticket ticket(long number, ObjectState... objects) {
    return TicketObjects.ticket(number, List.of(objects));
  }

  private static ObjectState group(String id, int slots) {
    return ObjectState.newBuilder()
        .setGroup(Group.newBuilder().setId(id).setSlotsPerServer(slots).setConnectionsPerServer(35))
        .build();
  }

  private static ObjectState pool(String name, String... groups) {
    return ObjectState.newBuilder()
        .setPool(Pool.newBuilder().setName(name).addAllGroups(List.of(groups)))
        .build();
  }

  private void register(String host, long incarnation) {
    Host registration =
        Host.newBuilder()
            .setId(host)
            .setIncarnation(incarnation)
            .setZone("z")
            .setInnerAddress(ADDRESS)
            .setCallerAddress(ADDRESS)
            .setProxy(true)
            .build();
    apply(
        Command.newBuilder()
            .setHostRegistration(HostRegistration.newBuilder().setHost(registration)));
  }

  /**
   * An operator resends ticket 1 after its answer was lost. Ticket 2 has changed the same group in
   * the meantime; applying ticket 1 again would silently undo ticket 2.
   */
  @Test
  void resentTicketReturnsFirstAnswerAndChangesNothing() throws Exception {
    TicketAnswer first = submit(ticket(1, group("g1", 2), pool("p", "g1")));
    submit(ticket(2, group("g1", 5)));
    int changesBefore = changes.size();

    TicketAnswer resent = submit(ticket(1, pool("p", "g1"), group("g1", 2)));

    assertThat(resent).isEqualTo(first);
    assertThat(changes).hasSize(changesBefore);
    assertThat(state.view().group(new GroupId("g1")).get().slotsPerServer()).isEqualTo(5);
  }

  @Test
  void otherContentForSameNumberIsConflictWithAcceptedTicket() throws Exception {
    TicketAnswer first = submit(ticket(1, group("g1", 2)));

    TicketAnswer other = submit(ticket(1, group("g1", 3)));

    assertThat(other.getVerdict()).isEqualTo(TicketVerdict.CONFLICT);
    assertThat(other.getContentHash()).isEqualTo(first.getContentHash());
    assertThat(other.getAcceptedVersion()).isEqualTo(first.getAcceptedVersion());
    assertThat(other.getObjectsList()).containsExactly("group/g1");
    assertThat(state.view().group(new GroupId("g1")).get().slotsPerServer()).isEqualTo(2);
  }

  /**
   * An invalid ticket doesn't use up its number, so the operator can correct and resend the ticket.
   */
  @Test
  void allFaultsAreReportedAndNothingIsApplied() throws Exception {
    TicketAnswer answer =
        submit(
            ticket(
                1,
                pool("no good", "g1", "g1", "g2"),
                group("g1", 0),
                ObjectState.newBuilder().setRemovedGroup("g9").build(),
                ObjectState.newBuilder()
                    .setHostPolicy(HostPolicy.newBuilder().setId("h9"))
                    .build()));

    assertThat(answer.getVerdict()).isEqualTo(TicketVerdict.INVALID);
    assertThat(answer.getFaultsList().stream().map(TicketStateTest::faultText).toList())
        .containsExactly(
            "group/g1 slotsPerServer 0",
            "group/g9 removed unknown",
            "host/h9 name h9",
            "pool/no good name no good",
            "pool/no good groups g1",
            "pool/no good groups g2");
    assertThat(changes).isEmpty();
    assertThat(submit(ticket(1, group("g1", 2))).getVerdict()).isEqualTo(TicketVerdict.ACCEPTED);
  }

  private static String faultText(TicketFault fault) {
    return fault.getObject() + " " + fault.getField() + " " + fault.getValue();
  }

  @Test
  void groupInUseIsRemovedOnlyTogetherWithItsUse() throws Exception {
    ObjectState removal = ObjectState.newBuilder().setRemovedGroup("g1").build();
    submit(ticket(1, group("g1", 2), group("g2", 2), pool("p", "g1", "g2")));

    assertThat(submit(ticket(2, removal)).getVerdict()).isEqualTo(TicketVerdict.INVALID);
    assertThat(submit(ticket(2, removal, pool("p", "g1"))).getVerdict())
        .isEqualTo(TicketVerdict.INVALID);
    assertThat(submit(ticket(2, removal, pool("p", "g2"))).getVerdict())
        .isEqualTo(TicketVerdict.ACCEPTED);
    assertThat(state.view().groups().keySet()).containsExactly(new GroupId("g2"));
  }

  /**
   * A script resends an old ticket whose number has been removed from the table. Applying it again
   * would restore the old limits.
   */
  @Test
  void forgottenNumberIsRejectedAndNeverAppliedAgain() throws Exception {
    for (int number = 1; number <= MAX_TICKETS + 1; number++) {
      submit(ticket(number, group("g1", number)));
    }

    TicketAnswer answer = submit(ticket(1, group("g1", 1)));

    assertThat(answer.getVerdict()).isEqualTo(TicketVerdict.FORGOTTEN);
    assertThat(answer.getFloor()).isEqualTo(1);
    assertThat(state.view().group(new GroupId("g1")).get().slotsPerServer())
        .isEqualTo(MAX_TICKETS + 1);
    assertThat(state.ticketsRemembered()).isEqualTo(MAX_TICKETS);
  }

  /**
   * A control host restarts from its stored snapshot. A resent ticket and a conflicting ticket with
   * the same number must get the same answers as before the restart.
   */
  @Test
  void numbersFloorAndChainSurviveSnapshotAndRestart() throws Exception {
    for (int number = 1; number <= MAX_TICKETS + 1; number++) {
      submit(ticket(number, group("g1", number)));
    }
    final ControlState before = state;
    ByteString stored = state.snapshot();
    state = new ControlState(changes::add, FailoverHandler.NONE, MAX_TICKETS);
    state.restore(index, stored);

    assertThat(state.snapshot()).isEqualTo(stored);
    assertThat(state.current().chainHash()).isEqualTo(before.current().chainHash());
    assertThat(submit(ticket(2, group("g1", 2)))).isEqualTo(before.ticket(2).get());
    assertThat(submit(ticket(3, group("g1", 9))).getVerdict()).isEqualTo(TicketVerdict.CONFLICT);
    assertThat(submit(ticket(1, group("g1", 1))).getVerdict()).isEqualTo(TicketVerdict.FORGOTTEN);
    assertThat(submit(ticket(9, group("g1", 9))).getVerdict()).isEqualTo(TicketVerdict.ACCEPTED);
  }

  /**
   * An operator changes the limits of a group whose primary is at term 4. If the ticket reset the
   * term, a replaced primary would be accepted again.
   */
  @Test
  void ticketKeepsTermAndPrimaryOfRunningGroup() throws Exception {
    submit(ticket(1, group("g1", 2)));
    apply(
        Command.newBuilder()
            .setAnnouncement(
                Announcement.newBuilder()
                    .setServer(
                        Server.newBuilder()
                            .setId("s1")
                            .setGroup("g1")
                            .setZone("z")
                            .setIncarnation(1)
                            .setAddress(ADDRESS))
                    .setPrimary(true)
                    .setTerm(4)));

    submit(ticket(2, group("g1", 7)));

    var group = state.view().group(new GroupId("g1")).get();
    assertThat(group.slotsPerServer()).isEqualTo(7);
    assertThat(group.term()).isEqualTo(4);
    assertThat(group.primary().get().value()).isEqualTo("s1");
  }

  /**
   * A drained host restarts during maintenance. It must stay drained until an operator ends the
   * drain.
   */
  @Test
  void drainSurvivesRestartOfHostAndControlHost() {
    register("h1", 1);
    apply(
        Command.newBuilder()
            .setDrainHost(DrainHostRequest.newBuilder().setHost("h1").setDraining(true)));
    apply(
        Command.newBuilder()
            .setHostExpiry(HostExpiry.newBuilder().setHost("h1").setIncarnation(1)));
    assertThat(state.view().hosts()).isEmpty();
    ByteString stored = state.snapshot();
    state = new ControlState(changes::add);
    state.restore(index, stored);

    register("h1", 2);

    assertThat(state.view().hosts().get(new HostId("h1")).draining()).isTrue();
  }

  /**
   * A delayed registration of the old process arrives after the registration, and after the
   * removal, of its successor.
   */
  @Test
  void delayedRegistrationOfEarlierProcessIsIgnored() {
    register("h1", 2);
    register("h1", 1);
    assertThat(state.view().hosts().get(new HostId("h1")).incarnation()).isEqualTo(2);

    apply(
        Command.newBuilder()
            .setHostExpiry(HostExpiry.newBuilder().setHost("h1").setIncarnation(2)));
    register("h1", 1);
    assertThat(state.view().hosts()).isEmpty();
  }

  @Test
  void failoverStepsArePassedToHandler() throws Exception {
    FailoverHandler handler =
        new FailoverHandler() {
          @Override
          public ApplyResult apply(long at, ByteString step, org.alderyard.common.view.View view) {
            return new ApplyResult(List.of(group("g1", 3)), step);
          }

          @Override
          public ByteString snapshot() {
            return ByteString.copyFromUtf8("kept");
          }

          @Override
          public void restore(ByteString snapshot) {
            assertThat(snapshot.toStringUtf8()).isEqualTo("kept");
          }
        };
    state = new ControlState(changes::add, handler);
    ByteString step = ByteString.copyFromUtf8("step");

    assertThat(apply(Command.newBuilder().setFailoverStep(step))).isEqualTo(step);
    assertThat(state.view().groups()).hasSize(1);
    state.restore(index, state.snapshot());
  }
}
