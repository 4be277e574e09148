package org.alderyard.protocol.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.protocol.TestPeers;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.FetchConfigurationReply;
import org.alderyard.protocol.generated.control.FetchConfigurationRequest;
import org.alderyard.protocol.generated.envelope.Envelope;
import org.alderyard.protocol.generated.envelope.Hello;
import org.alderyard.protocol.generated.envelope.HelloProof;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Compressed replies, between builds that support them and with one that does not. */
class PayloadCompressionTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int DATABASES = 1_400;

  private final EventLoops loops = new EventLoops(1);
  private final WorkerPool workers = new WorkerPool("test", 2);
  private final FetchConfigurationReply large = largeReply();
  private InnerServer server;

  @BeforeEach
  void start() {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.serve(
        ControlMethods.FETCH_CONFIGURATION,
        (peer, request) -> CompletableFuture.completedFuture(large));
    server =
        new InnerServer(
            loops,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            TestPeers.options("h1", TIMEOUT),
            dispatcher,
            workers);
  }

  @AfterEach
  void stop() {
    server.close();
    workers.close();
    loops.close();
  }

  private static FetchConfigurationReply largeReply() {
    Configuration.Builder configuration = Configuration.newBuilder().setNumber(1);
    for (int i = 0; i < DATABASES; i++) {
      configuration.addDatabases(
          Database.newBuilder().setName("database" + i).setScope("/").setGroup("group"));
    }
    return FetchConfigurationReply.newBuilder().setConfiguration(configuration).build();
  }

  private static ByteString random(int bytes) {
    byte[] content = new byte[bytes];
    new SplittableRandom(1).nextBytes(content);
    return ByteString.copyFrom(content);
  }

  @Test
  void payloadsAreRestored() {
    for (ByteString payload :
        new ByteString[] {
          ByteString.EMPTY,
          ByteString.copyFromUtf8("small"),
          ByteString.copyFrom(new byte[PayloadCompression.MIN_BYTES]).concat(random(9)),
          large.toByteString()
        }) {
      ByteString restored =
          PayloadCompression.decompress(
              PayloadCompression.compress(ByteString.copyFromUtf8("x").concat(payload)));
      assertThat(restored.substring(1)).isEqualTo(payload);
    }
  }

  @Test
  void incompressiblePayloadIsSentAsItIs() {
    ByteString payload = ByteString.copyFromUtf8("x").concat(random(20_000));

    assertThat(PayloadCompression.compress(payload)).isSameInstanceAs(payload);
  }

  /** A cut or overlong payload must fail the call, not the connection of all calls. */
  @Test
  void damagedPayloadIsRefused() {
    ByteString compressed = PayloadCompression.compress(large.toByteString());
    for (ByteString damaged :
        new ByteString[] {
          compressed.substring(0, 3),
          compressed.substring(0, compressed.size() / 2),
          ByteString.copyFrom(new byte[] {0, 127, 0, 0, 0, 1}),
          compressed.substring(0, 5).concat(random(100))
        }) {
      AlderyardException failure =
          assertThrows(AlderyardException.class, () -> PayloadCompression.decompress(damaged));
      assertThat(failure.code()).isEqualTo(ErrorCode.MESSAGE_DAMAGED);
    }
  }

  @Test
  void largeReplyArrives() {
    try (PeerLinks links = new PeerLinks(loops, TestPeers.options("h2", TIMEOUT))) {
      assertThat(
              links
                  .linkTo(server.address())
                  .call(
                      ControlMethods.FETCH_CONFIGURATION,
                      FetchConfigurationRequest.getDefaultInstance(),
                      TIMEOUT)
                  .join())
          .isEqualTo(large);
    }
  }

  /** During a rolling restart, a host of the build before must be able to read every reply. */
  @Test
  void peerOfOlderProtocolGetsReplyAsBefore() throws IOException {
    assertThat(replyToPeerOf(1)).isEqualTo(large.toByteString());
    assertThat(replyToPeerOf(PayloadCompression.PROTOCOL).size())
        .isLessThan(large.getSerializedSize() / 2);
  }

  /** Returns the payload of a reply on the wire, to a peer of the given newest protocol. */
  private ByteString replyToPeerOf(int protocol) throws IOException {
    ProtocolOptions options = TestPeers.options("h2", TIMEOUT);
    Hello hello =
        Hello.newBuilder()
            .setHostId("h2")
            .setIncarnation(1)
            .setClusterId(options.clusterId())
            .setProtocolMin(1)
            .setProtocolMax(protocol)
            .setNonce(random(16))
            .build();
    try (Socket socket = new Socket(server.address().getAddress(), server.address().getPort())) {
      OutputStream out = socket.getOutputStream();
      Envelope.newBuilder().setHello(hello).build().writeDelimitedTo(out);
      Hello serverHello = Envelope.parseDelimitedFrom(socket.getInputStream()).getHello();
      byte[] proof = options.clusterKey().computeProof("client", hello, serverHello);
      Envelope.newBuilder()
          .setHelloProof(HelloProof.newBuilder().setHmac(ByteString.copyFrom(proof)))
          .build()
          .writeDelimitedTo(out);
      assertThat(Envelope.parseDelimitedFrom(socket.getInputStream()).hasHelloProof()).isTrue();
      Frames.request(1, ControlMethods.FETCH_CONFIGURATION.number(), ByteString.EMPTY, TIMEOUT)
          .writeDelimitedTo(out);
      return Envelope.parseDelimitedFrom(socket.getInputStream()).getReply().getPayload();
    }
  }
}
