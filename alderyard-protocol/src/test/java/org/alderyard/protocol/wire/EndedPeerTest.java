package org.alderyard.protocol.wire;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.protocol.TestPeers;
import org.junit.jupiter.api.Test;

/** Tests how a link shows that the process of its peer has ended. */
class EndedPeerTest {
  private static final Duration LIMIT = Duration.ofSeconds(10);

  private final BlockingQueue<InetSocketAddress> disconnected = new LinkedBlockingQueue<>();

  private InetSocketAddress nextDisconnected() throws InterruptedException {
    return disconnected.poll(LIMIT.toSeconds(), TimeUnit.SECONDS);
  }

  /** Guards against a host that is gone and counts until it has been silent for long enough. */
  @Test
  void endOfPeerIsReportedAndItsAddressRefusesConnections() throws Exception {
    try (EventLoops loops = new EventLoops(1);
        WorkerPool workers = new WorkerPool("test", 1);
        PeerLinks links = new PeerLinks(loops, TestPeers.options("h2", LIMIT))) {
      InetSocketAddress address;
      try (InnerServer server = server(loops, workers)) {
        address = server.address();
        links.onDisconnect(disconnected::add);
        assertThat(isRefused(links, address)).isFalse();
        assertThat(disconnected).isEmpty();
      }

      assertThat(nextDisconnected()).isEqualTo(address);
      assertThat(isRefused(links, address)).isTrue();
    }
  }

  private static boolean isRefused(PeerLinks links, InetSocketAddress address) throws Exception {
    return links.linkTo(address).isRefused().get(LIMIT.toSeconds(), TimeUnit.SECONDS);
  }

  private static InnerServer server(EventLoops loops, WorkerPool workers) {
    return new InnerServer(
        loops,
        new InetSocketAddress("127.0.0.1", 0),
        TestPeers.options("h1", LIMIT),
        new Dispatcher(),
        workers);
  }
}
