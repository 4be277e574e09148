package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionStatement.Read;
import org.alderyard.common.view.HostState;
import org.alderyard.testkit.session.ModelServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Callers on hosts without connections, served through the hosts that hold them. */
class HolderForwardingTest {
  private static final int HOSTS = 12;
  private static final int STATEMENTS = 100;

  private FleetFixture fleet = new FleetFixture("z0", "z0", "z0", "z1", "z1");

  @AfterEach
  void close() {
    fleet.close();
  }

  @Test
  void fleetOpensConnectionsFromItsHoldersOnly() {
    // Pattern: more hosts than a server accepts connections. Each opened its own, servers reset
    // most of them, and statements waited for one that stayed.
    fleet.close();
    String[] zones = new String[HOSTS];
    Arrays.fill(zones, "z0");
    fleet = new FleetFixture(zones);
    fleet.states.forEach(
        state ->
            assertThat(fleet.host(state).caller(SessionFixture.NEWEST).write("a", "1").succeeded())
                .isTrue());

    assertThat(fleet.group.connectionCount()).isEqualTo(1);
    assertThat(fleet.group.server("s1").ran()).hasSize(HOSTS);
  }

  @Test
  void writeIsReadBackOnEveryHost() {
    fleet.other().caller(SessionFixture.NEWEST).write("room", "new");

    fleet.states.forEach(
        state ->
            assertThat(fleet.host(state).caller(SessionFixture.NEWEST).read("room").rows())
                .containsExactly("new"));
  }

  @Test
  void ownWritesTravelWithTheSession() {
    SessionFixture.Caller caller = fleet.other().caller(SessionFixture.OWN_WRITES);
    fleet.other().caller(SessionFixture.NEWEST).write("room", "old");
    fleet.group.replicate();
    caller.write("room", "new");

    assertThat(caller.read("room").rows()).containsExactly("new");
  }

  @Test
  void valuesAndPreparedStatementsTravelWithEachStatement() {
    SessionFixture.Caller caller = fleet.other().caller(SessionFixture.NEWEST);
    caller.set("zone", "a");
    caller.prepare("p", StatementKind.READ, "shape");

    assertThat(caller.execute("p", "room").succeeded()).isTrue();
    assertThat(fleet.group.server("s1").ran().get(0).values()).isEqualTo(Map.of("zone", "a"));
  }

  @Test
  void transactionStaysOnOneConnectionOfTheHolder() {
    SessionFixture.Caller caller = fleet.other().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    caller.write("b", "2");

    assertThat(caller.commit().succeeded()).isTrue();
    Set<Integer> connections =
        fleet.group.server("s1").ran().stream()
            .map(ModelServer.Ran::connection)
            .collect(Collectors.toSet());
    assertThat(connections).hasSize(1);
    assertThat(heldTransactions()).isEqualTo(0);
  }

  @Test
  void commitOfForwardedTransactionIsSeenByTheSessionsReads() {
    SessionFixture.Caller caller = fleet.other().caller(SessionFixture.OWN_WRITES);
    caller.begin();
    caller.write("a", "1");
    caller.commit();

    assertThat(caller.read("a").rows()).containsExactly("1");
  }

  @Test
  void rollbackReachesTheHolder() {
    SessionFixture.Caller caller = fleet.other().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    caller.rollback();

    assertThat(heldTransactions()).isEqualTo(0);
    assertThat(caller.read("a").rows()).containsExactly("");
  }

  @Test
  void callerThatLeavesEndsItsTransactionAtTheHolder() {
    SessionFixture host = fleet.other();
    SessionFixture.Caller caller = host.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    host.service.close(caller.session);

    assertThat(heldTransactions()).isEqualTo(0);
  }

  @Test
  void holderThatIsDownIsPassedOver() {
    fleet.manner(holderOf("z0"), FleetFixture.Manner.DOWN);

    SessionFixture.Caller caller = fleet.other().caller(SessionFixture.NEWEST);

    assertThat(caller.write("a", "1").succeeded()).isTrue();
    assertThat(fleet.group.server("s1").ran()).hasSize(1);
  }

  @Test
  void hostServesByItselfOnceNoHolderHasBeenThereForWhile() {
    SessionFixture host = fleet.other();
    SessionFixture.Caller caller = host.caller(SessionFixture.NEWEST);
    fleet.holders().forEach(holder -> fleet.manner(holder, FleetFixture.Manner.DOWN));

    // A cold machine may spend the first statement's time on the first holder.
    while (fleet.sent() < fleet.holders().size()) {
      assertThat(caller.write("a", "1").refusedWith(RefusalCode.BUSY)).isTrue();
    }
    assertThat(fleet.group.connectionCount()).isEqualTo(0);
    host.advance(1_001);
    assertThat(caller.write("a", "1").succeeded()).isTrue();
  }

  @Test
  void slowHoldersAreNotSentEachStatementTwice() {
    // Pattern: all hosts start at once and are slow. Each statement went to one holder after the
    // other, and the fleet worked on what nobody waited for any more.
    fleet.holders().forEach(holder -> fleet.manner(holder, FleetFixture.Manner.STANDS_STILL));
    List<CompletableFuture<SessionReply>> answers = new ArrayList<>();
    for (int i = 0; i < STATEMENTS; i++) {
      SessionFixture.Caller caller = fleet.other().caller(SessionFixture.NEWEST);
      answers.add(caller.session.handle("r" + i, new Read("a")));
    }
    answers.forEach(answer -> answer.orTimeout(5, TimeUnit.SECONDS).join());

    assertThat(fleet.sent()).isAtMost(STATEMENTS + STATEMENTS / 10 + 11);
  }

  @Test
  void readBehindHolderThatStandsStillIsRunByAnother() {
    fleet.manner(holderOf("z0"), FleetFixture.Manner.STANDS_STILL);

    assertThat(fleet.other().caller(SessionFixture.NEWEST).read("a").succeeded()).isTrue();
  }

  @Test
  void writeWhoseHolderGaveNoAnswerIsInDoubtAndRunsOnce() {
    fleet.manner(holderOf("z0"), FleetFixture.Manner.LOSES_ANSWERS);

    SessionReply reply = fleet.other().caller(SessionFixture.NEWEST).write("a", "1");

    assertThat(reply.refusedWith(RefusalCode.IN_DOUBT)).isTrue();
    assertThat(fleet.group.server("s1").ran()).hasSize(1);
  }

  @Test
  void transactionWhoseHolderIsLostKeepsNothingBeforeItsCommit() {
    SessionFixture.Caller caller = fleet.other().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    fleet.holders().forEach(holder -> fleet.manner(holder, FleetFixture.Manner.DOWN));

    assertThat(caller.write("b", "2").refusedWith(RefusalCode.ABORTED)).isTrue();
    assertThat(caller.commit().refusedWith(RefusalCode.ABORTED)).isTrue();
    fleet.holders().forEach(holder -> fleet.manner(holder, FleetFixture.Manner.GOOD));
    assertThat(fleet.other().caller(SessionFixture.NEWEST).read("a").rows()).containsExactly("");
  }

  @Test
  void commitWhoseAnswerIsLostIsInDoubt() {
    SessionFixture.Caller caller = fleet.other().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    fleet.holders().forEach(holder -> fleet.manner(holder, FleetFixture.Manner.LOSES_ANSWERS));

    assertThat(caller.commit().refusedWith(RefusalCode.IN_DOUBT)).isTrue();
  }

  @Test
  void holderThatStopsBeginsNothingAndFinishesWhatIsOpen() {
    SessionFixture.Caller caller = fleet.other().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    fleet.host(holderOf("z0")).service.stopHolding();

    assertThat(caller.commit().succeeded()).isTrue();
    assertThat(fleet.other().caller(SessionFixture.NEWEST).write("b", "1").succeeded()).isTrue();
  }

  @Test
  void transactionOfCallerWhoseHostIsGoneEndsByItself() {
    SessionFixture.Caller caller = fleet.other().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    assertThat(heldTransactions()).isEqualTo(1);

    long later = System.nanoTime() + 2_000_000L * (SessionFixture.IDLE_MILLIS + 100);
    fleet.hosts.values().forEach(host -> host.service.held().sweep(later));

    assertThat(heldTransactions()).isEqualTo(0);
  }

  @Test
  void statementsOfOneHostGoToTheHolderOfItsZone() {
    Set<String> zones = new HashSet<>();
    fleet.holders().forEach(holder -> zones.add(holder.zone().value()));
    assertThat(zones).containsExactly("z0", "z1");
  }

  private HostState holderOf(String zone) {
    return fleet.holders().stream()
        .filter(holder -> holder.zone().value().equals(zone))
        .findFirst()
        .orElseThrow();
  }

  private int heldTransactions() {
    return fleet.hosts.values().stream().mapToInt(host -> host.service.heldTransactions()).sum();
  }
}
