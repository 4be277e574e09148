package org.alderyard.benchmarks.log;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.HostId;
import org.alderyard.control.log.LogListener;
import org.alderyard.control.log.LogStatus;
import org.alderyard.control.log.ReplicatedLog;
import org.alderyard.control.log.ReplicatedLogOptions;
import org.alderyard.control.log.StateMachine;
import org.alderyard.protocol.wire.ClusterKey;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.EventLoops;
import org.alderyard.protocol.wire.InnerServer;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.protocol.wire.ProtocolOptions;

/** Control host in the process of the benchmark that uses real sockets and files. */
final class BenchHost implements LogListener {
  private static final String CLUSTER = "benchmark";
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration POLL = Duration.ofMillis(5);
  private static final int MAX_OUTSTANDING = 4_096;

  private final int number;
  private final WorkerPool workers = new WorkerPool("host", 2);
  private final EventLoops loops = new EventLoops(1);
  private final PeerLinks links;
  private final InnerServer server;
  private final ReplicatedLog log;
  private final Consumer<BenchHost> onLeading;

  BenchHost(
      int number,
      List<InetSocketAddress> members,
      Path folder,
      StateMachine stateMachine,
      ReplicatedLogOptions options,
      Consumer<BenchHost> onLeading) {
    this.number = number;
    this.onLeading = onLeading;
    HostId host = new HostId("control-" + number);
    ProtocolOptions protocol =
        new ProtocolOptions(
            CLUSTER,
            host,
            1,
            new ClusterKey(new byte[ClusterKey.MIN_BYTES]),
            CONNECT_TIMEOUT,
            MAX_OUTSTANDING);
    links = new PeerLinks(loops, protocol);
    Dispatcher dispatcher = new Dispatcher();
    log =
        ReplicatedLog.builder()
            .clusterId(CLUSTER)
            .host(host, members.get(number))
            .members(members)
            .dataFolder(folder.resolve(host.value()))
            .stateMachine(stateMachine)
            .network(links, dispatcher)
            .callbacks(workers)
            .random(new SecureRandom())
            .listener(this)
            .options(options)
            .start();
    server = new InnerServer(loops, members.get(number), protocol, dispatcher, workers);
  }

  @Override
  public void onLeadershipChange(long term, boolean isLeader) {
    if (isLeader) {
      workers.execute(() -> onLeading.accept(this));
    }
  }

  int number() {
    return number;
  }

  ReplicatedLog log() {
    return log;
  }

  ByteString propose(ByteString command) {
    return log.propose(command).join();
  }

  /** Blocks until this host has applied the log up to the given index. */
  void awaitApplied(long index) {
    await(status -> status.appliedIndex() >= index);
  }

  /** Blocks until this host has written a snapshot. */
  void awaitSnapshot() {
    await(status -> status.snapshotIndex() > 0);
  }

  private void await(Predicate<LogStatus> condition) {
    CompletableFuture<Void> reached = new CompletableFuture<>();
    var poll =
        workers.scheduleRepeatedly(
            POLL,
            () -> {
              if (condition.test(log.status())) {
                reached.complete(null);
              }
            });
    reached.join();
    poll.cancel();
  }

  /**
   * Stops the host without a leadership transfer; the threads run until {@link #releaseThreads}.
   */
  void kill() {
    log.stop();
    links.close();
    server.close();
  }

  /** Closes the host after a leadership transfer; the threads run until {@link #releaseThreads}. */
  void close() {
    log.close();
    links.close();
    server.close();
  }

  void releaseThreads() {
    loops.close();
    workers.close();
  }
}
