package org.alderyard.protocol.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.HostId;
import org.alderyard.protocol.generated.control.AnnounceRequest;
import org.alderyard.protocol.wire.ClusterKey;
import org.alderyard.protocol.wire.EventLoops;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.protocol.wire.ProtocolOptions;
import org.junit.jupiter.api.Test;

class ControlClientTest {

  @Test
  void triesEndWithTheTimeOfWhoWaitsForThem() throws Exception {
    // A leader is slow for some seconds. Servers and operators give up after a second and turn to
    // another host, which tries for them as well; when the tries of all these hosts went on, the
    // leader had no time left for anybody, and hosts stayed on an old view.
    InetSocketAddress nobody;
    try (ServerSocket free = new ServerSocket(0)) {
      nobody = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    ProtocolOptions options =
        new ProtocolOptions(
            "c",
            new HostId("h1"),
            1,
            new ClusterKey(
                "0123456789abcdef0123".getBytes(java.nio.charset.StandardCharsets.UTF_8)),
            Duration.ofSeconds(1),
            16);
    AtomicInteger looks = new AtomicInteger();
    try (EventLoops loops = new EventLoops(1);
        PeerLinks links = new PeerLinks(loops, options);
        WorkerPool workers = new WorkerPool("test", 1)) {
      ControlClient client =
          new ControlClient(
              links,
              () -> {
                looks.incrementAndGet();
                return List.of(nobody);
              },
              workers);
      assertThrows(
          ExecutionException.class,
          () ->
              client
                  .callWithin(
                      ControlMethods.ANNOUNCE,
                      AnnounceRequest.getDefaultInstance(),
                      Duration.ofMillis(100),
                      Duration.ofMillis(250))
                  .get(20, TimeUnit.SECONDS));
      int ended = looks.get();
      TimeUnit.MILLISECONDS.sleep(400);

      assertThat(looks.get()).isEqualTo(ended);
      assertThat(ended).isLessThan(30);
    }
  }
}
