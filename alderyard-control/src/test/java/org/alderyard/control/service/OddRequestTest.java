package org.alderyard.control.service;

import static com.google.common.truth.Truth.assertThat;
import static org.alderyard.control.service.ControlHost.announcement;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.ManualClock;
import org.alderyard.protocol.generated.control.AnnounceRequest;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.generated.control.ServerExpiry;
import org.alderyard.protocol.generated.state.Endpoint;
import org.alderyard.protocol.generated.state.Host;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that no host can carry out: the leader refuses them and its log stays as it is. */
class OddRequestTest {
  private static final String LONG_NAME =
      "a1234567890123456789012345678901234567890123456789012345678901234"
          + "a234567890123456789012345678901234567890123456789012345678901234";

  private static final Endpoint ADDRESS =
      Endpoint.newBuilder().setAddress("127.0.0.1").setPort(1).build();

  /** The depth at which protobuf parsers give up. */
  private static final int MAX_NESTING = 100;

  private static final int UNKNOWN_FIELD = 100;

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final FakeLog log = new FakeLog();
  private final ControlHost leader = new ControlHost("c1", log, new ManualClock(), workers);

  @BeforeEach
  void elect() {
    log.elect(leader.log);
  }

  @AfterEach
  void stop() {
    workers.close();
  }

  private void assertRefused(ErrorCode code, Supplier<CompletableFuture<?>> call) {
    AlderyardException refusal =
        Futures.toAlderyardException(assertThrows(RuntimeException.class, () -> call.get().join()));
    assertThat(refusal.code()).isEqualTo(code);
    assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(log.lastIndex()).isEqualTo(0);
  }

  /** Guards against a deregistration in the log at which each control host ends. */
  @ParameterizedTest
  @ValueSource(strings = {"a b", "", "a/b", LONG_NAME})
  void oddServerThatLeavesIsRefusedWithWholeRequest(String server) {
    AnnounceRequest request =
        AnnounceRequest.newBuilder()
            .addAnnouncements(announcement("s1", 1))
            .addEnded(ServerExpiry.newBuilder().setServer(server))
            .build();
    assertRefused(ErrorCode.BAD_REQUEST, () -> leader.service.registry().announce(request));
    assertThat(leader.state.view().server(new ServerId("s1"))).isEmpty();
  }

  /** Guards against an unclear answer for a port that no host can use. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 65_536})
  void oddPortIsRefused(int port) {
    Endpoint odd = Endpoint.newBuilder().setAddress("127.0.0.1").setPort(port).build();
    var announced = announcement("s1", 1);
    announced.getServerBuilder().setAddress(odd);
    AnnounceRequest request = AnnounceRequest.newBuilder().addAnnouncements(announced).build();
    assertRefused(ErrorCode.BAD_REQUEST, () -> leader.service.registry().announce(request));
    HeartbeatRequest heartbeat =
        HeartbeatRequest.newBuilder()
            .setHost(
                Host.newBuilder()
                    .setId("h1")
                    .setZone("z")
                    .setInnerAddress(odd)
                    .setCallerAddress(odd))
            .build();
    assertRefused(ErrorCode.BAD_REQUEST, () -> leader.service.registry().heartbeat(heartbeat));
  }

  /**
   * Guards against an entry that can't be parsed, since its parts are nested one level deeper than
   * in the request from which it was made, and against a view that no host can parse.
   */
  @ParameterizedTest
  @ValueSource(ints = {40, MAX_NESTING - 1})
  void deeplyNestedRequestIsRefused(int depth) throws Exception {
    Host.Builder host =
        Host.newBuilder()
            .setId("h1")
            .setZone("z")
            .setInnerAddress(ADDRESS)
            .setCallerAddress(ADDRESS);
    host.mergeFrom(nestedUnknownGroups(depth));
    ByteString received = HeartbeatRequest.newBuilder().setHost(host).build().toByteString();
    HeartbeatRequest request = HeartbeatRequest.parseFrom(received);

    assertRefused(ErrorCode.BAD_REQUEST, () -> leader.service.registry().heartbeat(request));
  }

  private static ByteString nestedUnknownGroups(int depth) throws IOException {
    ByteString.Output bytes = ByteString.newOutput();
    CodedOutputStream output = CodedOutputStream.newInstance(bytes);
    for (int i = 0; i < depth; i++) {
      output.writeTag(UNKNOWN_FIELD, WireFormat.WIRETYPE_START_GROUP);
    }
    for (int i = 0; i < depth; i++) {
      output.writeTag(UNKNOWN_FIELD, WireFormat.WIRETYPE_END_GROUP);
    }
    output.flush();
    return bytes.toByteString();
  }

  /** Guards against the end of a host by a name that it only passes on. */
  @Test
  void drainOfOddHostIsAnsweredWithFault() {
    var reply =
        leader
            .service
            .tickets()
            .drain(DrainHostRequest.newBuilder().setHost("a b").setDraining(true).build())
            .join();
    assertThat(reply.getFaultsCount()).isEqualTo(1);
  }
}
