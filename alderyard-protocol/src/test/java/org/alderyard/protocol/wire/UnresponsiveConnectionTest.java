package org.alderyard.protocol.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.protocol.TestPeers;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.FindControlHostsReply;
import org.alderyard.protocol.generated.control.FindControlHostsRequest;
import org.junit.jupiter.api.Test;

class UnresponsiveConnectionTest {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  @Test
  void requestAfterTimeoutUsesNewConnection() throws Exception {
    // Guards against connections that stay unresponsive after a network partition. Hosts that kept
    // using them received no view for several more seconds and served an old configuration.
    List<PeerIdentity> peers = Collections.synchronizedList(new ArrayList<>());
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.serve(
        ControlMethods.FIND_CONTROL_HOSTS,
        (peer, request) -> {
          peers.add(peer);
          return peers.size() == 1
              ? new CompletableFuture<>()
              : CompletableFuture.completedFuture(FindControlHostsReply.getDefaultInstance());
        });
    try (EventLoops loops = new EventLoops(1);
        WorkerPool workers = new WorkerPool("test", 1);
        InnerServer server =
            new InnerServer(
                loops,
                new InetSocketAddress("127.0.0.1", 0),
                TestPeers.options("h1", CONNECT_TIMEOUT),
                dispatcher,
                workers);
        PeerLinks links = new PeerLinks(loops, TestPeers.options("h2", CONNECT_TIMEOUT))) {
      PeerLink link = links.linkTo(server.address());
      assertThrows(ExecutionException.class, () -> findControlHosts(link, Duration.ofMillis(800)));
      findControlHosts(link, Duration.ofSeconds(5));

      assertThat(peers).hasSize(2);
      assertThat(peers.get(0)).isNotSameInstanceAs(peers.get(1));
    }
  }

  private static void findControlHosts(PeerLink link, Duration timeout) throws Exception {
    link.call(
            ControlMethods.FIND_CONTROL_HOSTS,
            FindControlHostsRequest.getDefaultInstance(),
            timeout)
        .get(20, TimeUnit.SECONDS);
  }
}
