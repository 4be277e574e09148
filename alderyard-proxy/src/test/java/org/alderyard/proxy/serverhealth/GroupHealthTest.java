package org.alderyard.proxy.serverhealth;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.junit.jupiter.api.Test;

class GroupHealthTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final HealthOptions ALL =
      new HealthOptions(ServerKnowledge.SHARED, PaceMode.ADAPTIVE);

  private final List<ServerState> servers = servers(3);
  private long now;

  private static List<ServerState> servers(int count) {
    return IntStream.range(0, count).mapToObj(number -> server(number, 1)).toList();
  }

  private static ServerState server(int number, long incarnation) {
    return new ServerState(
        new ServerId("s" + number),
        incarnation,
        new GroupId("g"),
        new ZoneName("z"),
        InetSocketAddress.createUnresolved("s" + number, 1),
        ServerStatus.ACTIVE);
  }

  private static GroupHealth group(HealthOptions options) {
    return new GroupHealth(options, 0, () -> new FleetSize(1, 6));
  }

  private List<ServerState> arrange(GroupHealth health, List<ServerState> ranked) {
    return health.arrange(ranked, server -> true, server -> true, now);
  }

  private void reads(GroupHealth health, ServerState server, ReadOutcome outcome, int count) {
    for (int i = 0; i < count; i++) {
      read(health, server, outcome, 30);
    }
  }

  private void read(GroupHealth health, ServerState server, ReadOutcome outcome, long millis) {
    now += MILLI;
    health.started(server);
    health.read(server, outcome, millis * MILLI, now);
    health.ended(server);
  }

  private GroupHealth withPeers(HealthOptions options) {
    GroupHealth health = group(options);
    arrange(health, servers);
    servers.forEach(server -> reads(health, server, ReadOutcome.ANSWERED, 20));
    return health;
  }

  /** Guards against a change of behaviour where the settings are not used. */
  @Test
  void defaultsLeaveOrderOfServersAsItIs() {
    GroupHealth health = withPeers(HealthOptions.DEFAULT);
    reads(health, servers.get(0), ReadOutcome.FAILED, 50);
    List<ServerState> restarted = List.of(server(0, 2), servers.get(1), servers.get(2));
    assertThat(arrange(health, restarted)).isSameInstanceAs(restarted);
    assertThat(health.takeReports()).isEmpty();
    assertThat(health.takeEvents()).isEmpty();
  }

  /** Guards against a group that loses more than a third of its servers to ejections. */
  @Test
  void onlyWorstOfTwoFailingServersIsEjected() {
    GroupHealth health = withPeers(ALL);
    for (int i = 0; i < 20; i++) {
      read(health, servers.get(0), ReadOutcome.FAILED, 30);
      read(health, servers.get(1), ReadOutcome.FAILED, 30);
    }
    assertThat(health.ejectedCount()).isEqualTo(1);
    assertThat(arrange(health, servers)).hasSize(2);
  }

  /** Guards against a group of two that is left with a single server. */
  @Test
  void serverOfSmallGroupIsNeverEjected() {
    GroupHealth health = group(ALL);
    List<ServerState> two = servers(2);
    arrange(health, two);
    reads(health, two.get(1), ReadOutcome.ANSWERED, 20);
    reads(health, two.get(0), ReadOutcome.FAILED, 20);
    assertThat(health.ejectedCount()).isEqualTo(0);
  }

  /** Guards against reads that are refused though only the ejected server answers. */
  @Test
  void ejectedServerIsUsedWhileNoOtherIsUsable() {
    GroupHealth health = withPeers(ALL);
    reads(health, servers.get(0), ReadOutcome.FAILED, 10);
    ServerState ejected = servers.get(0);
    assertThat(health.arrange(servers, server -> true, ejected::equals, now)).contains(ejected);
  }

  /** Answers a server that is slow while its probe succeeds; trials bring it back. */
  @Test
  void slowServerIsEjectedAndReadmittedByTrials() {
    GroupHealth health = withPeers(ALL);
    for (int i = 0; i < 60; i++) {
      read(health, servers.get(0), ReadOutcome.ANSWERED, 200);
    }
    assertThat(arrange(health, servers)).containsExactly(servers.get(1), servers.get(2)).inOrder();

    now += 2_000 * MILLI;
    for (int trial = 0; trial < Ejection.TRIALS; trial++) {
      assertThat(arrange(health, servers).get(0)).isEqualTo(servers.get(0));
      read(health, servers.get(0), ReadOutcome.ANSWERED, 30);
    }
    assertThat(health.ejectedCount()).isEqualTo(0);
    assertThat(health.takeEvents().stream().map(HealthEvent::kind))
        .containsExactly(
            HealthEvent.Kind.EJECTED, HealthEvent.Kind.READMITTED, HealthEvent.Kind.BOUNDED)
        .inOrder();
  }

  /** Guards against an ejection that does not grow while the trials fail. */
  @Test
  void failedTrialDoublesEjection() {
    GroupHealth health = withPeers(ALL);
    reads(health, servers.get(0), ReadOutcome.FAILED, 10);
    now += 2_000 * MILLI;
    read(health, servers.get(0), ReadOutcome.FAILED, 30);
    now += 3_900 * MILLI;
    assertThat(arrange(health, servers)).doesNotContain(servers.get(0));
    now += 200 * MILLI;
    assertThat(arrange(health, servers)).contains(servers.get(0));
  }

  /** Guards against a primary that reads prefer because it is paced or on trial. */
  @Test
  void serverThatMayNotComeFirstKeepsItsRank() {
    GroupHealth health = withPeers(ALL);
    ServerState restarted = server(2, 2);
    List<ServerState> ranked = List.of(servers.get(0), servers.get(1), restarted);
    List<ServerState> arranged =
        health.arrange(ranked, server -> !server.equals(restarted), server -> true, now);
    assertThat(arranged.get(0)).isEqualTo(servers.get(0));
    assertThat(health.boundedCount()).isEqualTo(1);
  }

  /** Guards against a host that ejects a server by reports of an earlier incarnation. */
  @Test
  void reportsCountForTheirIncarnationOnly() {
    GroupHealth health = withPeers(ALL);
    int old = ReadReport.fingerprint(servers.get(0).id(), 0);
    int current = ReadReport.fingerprint(servers.get(0).id(), 1);
    health.applyReports(Map.of(old, new ReadReport(old, 0, 50, 0, 0, 0)), now);
    assertThat(health.ejectedCount()).isEqualTo(0);
    health.applyReports(Map.of(current, new ReadReport(current, 0, 50, 0, 0, 0)), now);
    assertThat(health.ejectedCount()).isEqualTo(1);
  }

  /** Answers a host that starts after a server did: the server's own word bounds its load once. */
  @Test
  void serverThatSaysItIsColdIsBoundedOnce() {
    GroupHealth health = withPeers(ALL);
    int key = ReadReport.fingerprint(servers.get(0).id(), 1);
    health.applyReports(Map.of(key, new ReadReport(key, 0, 0, 0, 0, 800)), now);
    assertThat(health.boundedCount()).isEqualTo(1);
    reads(health, servers.get(0), ReadOutcome.ANSWERED, 60);
    assertThat(health.boundedCount()).isEqualTo(0);
    health.applyReports(Map.of(key, new ReadReport(key, 0, 0, 0, 0, 700)), now);
    assertThat(health.boundedCount()).isEqualTo(0);
  }
}
