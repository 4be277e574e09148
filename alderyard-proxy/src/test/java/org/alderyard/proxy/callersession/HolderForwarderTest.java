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

/** Statements of callers on hosts without connections, which holders run. */
class HolderForwarderTest {
  private static final int HOSTS = 12;
  private static final int STATEMENTS = 100;

  private FleetFixture fleet = new FleetFixture("z0", "z0", "z0", "z1", "z1");

  @AfterEach
  void close() {
    fleet.close();
  }

  @Test
  void onlyHoldersOpenConnections() {
    // If each of a larger number of hosts than a server accepts connections opened a connection,
    // servers would reset most of them, and statements would wait for one of the remaining
    // connections.
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
    fleet.nonHolder().caller(SessionFixture.NEWEST).write("room", "new");

    fleet.states.forEach(
        state ->
            assertThat(fleet.host(state).caller(SessionFixture.NEWEST).read("room").rows())
                .containsExactly("new"));
  }

  @Test
  void sessionReadsItsOwnWrites() {
    SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.OWN_WRITES);
    fleet.nonHolder().caller(SessionFixture.NEWEST).write("room", "old");
    fleet.group.replicate();
    caller.write("room", "new");

    assertThat(caller.read("room").rows()).containsExactly("new");
  }

  @Test
  void valuesAndPreparedStatementsAreForwarded() {
    SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.NEWEST);
    caller.set("zone", "a");
    caller.prepare("p", StatementKind.READ, "shape");

    assertThat(caller.execute("p", "room").succeeded()).isTrue();
    assertThat(fleet.group.server("s1").ran().get(0).values()).isEqualTo(Map.of("zone", "a"));
  }

  @Test
  void transactionUsesOneConnectionOfTheHolder() {
    SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    caller.write("b", "2");

    assertThat(caller.commit().succeeded()).isTrue();
    Set<Integer> connections =
        fleet.group.server("s1").ran().stream()
            .map(ModelServer.RanStatement::connection)
            .collect(Collectors.toSet());
    assertThat(connections).hasSize(1);
    assertThat(heldTransactionCount()).isEqualTo(0);
  }

  @Test
  void sessionReadsSeeItsForwardedCommit() {
    SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.OWN_WRITES);
    caller.begin();
    caller.write("a", "1");
    caller.commit();

    assertThat(caller.read("a").rows()).containsExactly("1");
  }

  @Test
  void rollbackIsForwardedToTheHolder() {
    SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    caller.rollback();

    assertThat(heldTransactionCount()).isEqualTo(0);
    assertThat(caller.read("a").rows()).containsExactly("");
  }

  @Test
  void closingSessionRollsBackTransactionOnTheHolder() {
    SessionFixture host = fleet.nonHolder();
    SessionFixture.Caller caller = host.caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    host.service.close(caller.session);

    assertThat(heldTransactionCount()).isEqualTo(0);
  }

  @Test
  void unreachableHolderIsSkipped() {
    fleet.behavior(holderOf("z0"), FleetFixture.Behavior.DOWN);

    SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.NEWEST);

    assertThat(caller.write("a", "1").succeeded()).isTrue();
    assertThat(fleet.group.server("s1").ran()).hasSize(1);
  }

  @Test
  void hostUsesOwnConnectionsAfterAllHoldersWereUnreachable() {
    SessionFixture host = fleet.nonHolder();
    SessionFixture.Caller caller = host.caller(SessionFixture.NEWEST);
    fleet.holders().forEach(holder -> fleet.behavior(holder, FleetFixture.Behavior.DOWN));

    // On a slow machine the first statement may time out on the first holder.
    while (fleet.sentStatements() < fleet.holders().size()) {
      assertThat(caller.write("a", "1").refusedWith(RefusalCode.BUSY)).isTrue();
    }
    assertThat(fleet.group.connectionCount()).isEqualTo(0);
    host.advance(1_001);
    assertThat(caller.write("a", "1").succeeded()).isTrue();
  }

  @Test
  void resendsToSlowHoldersAreLimited() {
    // All hosts start at the same time and are slow. If each statement was sent to one holder after
    // the other, the fleet would spend its time on statements whose callers have given up.
    fleet.holders().forEach(holder -> fleet.behavior(holder, FleetFixture.Behavior.HANGS));
    List<CompletableFuture<SessionReply>> replies = new ArrayList<>();
    for (int i = 0; i < STATEMENTS; i++) {
      SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.NEWEST);
      replies.add(caller.session.handle("r" + i, new Read("a")));
    }
    replies.forEach(reply -> reply.orTimeout(5, TimeUnit.SECONDS).join());

    assertThat(fleet.sentStatements()).isAtMost(STATEMENTS + STATEMENTS / 10 + 11);
  }

  @Test
  void readIsResentIfHolderHangs() {
    fleet.behavior(holderOf("z0"), FleetFixture.Behavior.HANGS);

    assertThat(fleet.nonHolder().caller(SessionFixture.NEWEST).read("a").succeeded()).isTrue();
  }

  @Test
  void writeWithLostReplyIsInDoubtAndRunsOnce() {
    fleet.behavior(holderOf("z0"), FleetFixture.Behavior.LOSES_REPLIES);

    SessionReply reply = fleet.nonHolder().caller(SessionFixture.NEWEST).write("a", "1");

    assertThat(reply.refusedWith(RefusalCode.IN_DOUBT)).isTrue();
    assertThat(fleet.group.server("s1").ran()).hasSize(1);
  }

  @Test
  void transactionIsAbortedIfHolderFailsBeforeCommit() {
    SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    fleet.holders().forEach(holder -> fleet.behavior(holder, FleetFixture.Behavior.DOWN));

    assertThat(caller.write("b", "2").refusedWith(RefusalCode.ABORTED)).isTrue();
    assertThat(caller.commit().refusedWith(RefusalCode.ABORTED)).isTrue();
    fleet.holders().forEach(holder -> fleet.behavior(holder, FleetFixture.Behavior.NORMAL));
    assertThat(fleet.nonHolder().caller(SessionFixture.NEWEST).read("a").rows())
        .containsExactly("");
  }

  @Test
  void commitWithLostReplyIsInDoubt() {
    SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    fleet.holders().forEach(holder -> fleet.behavior(holder, FleetFixture.Behavior.LOSES_REPLIES));

    assertThat(caller.commit().refusedWith(RefusalCode.IN_DOUBT)).isTrue();
  }

  @Test
  void stoppingHolderRefusesNewStatementsAndFinishesOpenTransactions() {
    SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    fleet.host(holderOf("z0")).service.stopAcceptingForwarded();

    assertThat(caller.commit().succeeded()).isTrue();
    assertThat(fleet.nonHolder().caller(SessionFixture.NEWEST).write("b", "1").succeeded())
        .isTrue();
  }

  @Test
  void abandonedTransactionIsRolledBackByTheHolder() {
    SessionFixture.Caller caller = fleet.nonHolder().caller(SessionFixture.NEWEST);
    caller.begin();
    caller.write("a", "1");
    assertThat(heldTransactionCount()).isEqualTo(1);

    long later = System.nanoTime() + 2_000_000L * (SessionFixture.IDLE_MILLIS + 100);
    fleet.hosts.values().forEach(host -> host.service.heldStatements().endAbandoned(later));

    assertThat(heldTransactionCount()).isEqualTo(0);
  }

  @Test
  void bothZonesHaveHolders() {
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

  private int heldTransactionCount() {
    return fleet.hosts.values().stream()
        .mapToInt(host -> host.service.heldTransactionCount())
        .sum();
  }
}
