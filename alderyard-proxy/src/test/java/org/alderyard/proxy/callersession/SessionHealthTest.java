package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerFingerprint;
import org.alderyard.common.id.ServerId;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.generated.control.ServerReads;
import org.alderyard.proxy.serverhealth.GroupHealth;
import org.alderyard.proxy.serverhealth.HealthOptions;
import org.alderyard.proxy.serverhealth.PaceMode;
import org.alderyard.proxy.serverhealth.ServerKnowledge;
import org.alderyard.proxy.view.HeartbeatExtension;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Server health on the path of callers' statements and in heartbeats. */
class SessionHealthTest {
  private static final HostId SELF = new HostId("h1");

  private final SessionFixture fixture = new SessionFixture("z1");

  @AfterEach
  void close() {
    fixture.close();
  }

  private HeartbeatExtension use(ServerKnowledge knowledge) {
    final HeartbeatExtension extension =
        fixture.service.useServerHealth(new HealthOptions(knowledge, PaceMode.NONE), SELF);
    fixture.publish("s1", fixture.group.states());
    fixture.caller(SessionFixture.NEWEST).write("a", "1");
    fixture.group.replicate();
    return extension;
  }

  private static HeartbeatRequest heartbeat(HeartbeatExtension extension) {
    HeartbeatRequest.Builder request = HeartbeatRequest.newBuilder();
    extension.addTo(request);
    return request.build();
  }

  private void read(int times) {
    SessionFixture.Caller caller = fixture.caller(SessionFixture.BOUNDED);
    for (int i = 0; i < times; i++) {
      assertThat(caller.read("a").succeeded()).isTrue();
    }
  }

  /** Guards against heartbeats that grow where the settings are not used. */
  @Test
  void localKnowledgeAddsNothingToHeartbeats() {
    HeartbeatExtension extension = use(ServerKnowledge.LOCAL);
    read(5);
    assertThat(heartbeat(extension)).isEqualTo(HeartbeatRequest.getDefaultInstance());
  }

  /** Guards against observations that do not reach other hosts, or reach them too often. */
  @Test
  void readsAreReportedOnceAndAtMostWithEachRegularHeartbeat() {
    HeartbeatExtension extension = use(ServerKnowledge.SHARED);
    fixture.group.server("s2").fail(1);
    read(6);
    List<ServerReads> reads = heartbeat(extension).getReadsList();
    assertThat(reads.stream().mapToInt(ServerReads::getAnswered).sum()).isEqualTo(6);
    assertThat(reads.stream().mapToInt(ServerReads::getFailed).sum()).isEqualTo(1);
    read(1);
    assertThat(heartbeat(extension).getWantsReads()).isFalse();
    fixture.advance(750);
    assertThat(heartbeat(extension).getReadsList()).hasSize(1);
  }

  /** Guards against a host that sends reads to a server that failed those of other hosts. */
  @Test
  void serverThatFailsReadsOfOtherHostsGetsNone() {
    HeartbeatExtension extension = use(ServerKnowledge.SHARED);
    read(1);
    ServerId failing = new ServerId("s2");
    extension.onReply(
        HeartbeatReply.newBuilder()
            .setHasReads(true)
            .addReads(
                ServerReads.newBuilder()
                    .setServer(ServerFingerprint.of(failing, incarnation(failing)))
                    .setAnswered(5)
                    .setFailed(20))
            .build());
    GroupRouting routing = fixture.context().routings().of(fixture.group.id());
    assertThat(routing.queryHealth(GroupHealth::ejectedCount)).isEqualTo(1);
    fixture.group.server("s2").fail(Integer.MAX_VALUE);
    read(20);
    assertThat(heartbeat(extension).getReadsList().stream().mapToInt(ServerReads::getFailed).sum())
        .isEqualTo(0);
  }

  private long incarnation(ServerId server) {
    return fixture.views.current().server(server).orElseThrow().incarnation();
  }
}
