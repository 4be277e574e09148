package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.LogSize;
import org.alderyard.protocol.generated.raft.JoinRequest;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.wire.ClusterKey;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.EventLoops;
import org.alderyard.protocol.wire.InnerServer;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.protocol.wire.ProtocolOptions;

/** Control host inside the test process that uses real sockets and files. */
final class LogHost implements StateMachine, LogListener, AutoCloseable {
  static final ReplicatedLogOptions OPTIONS = options(LogSize.ofEntries(50), LogSize.ofEntries(5));
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);

  final List<String> applied = new ArrayList<>();
  final List<String> leadership = new CopyOnWriteArrayList<>();
  volatile AlderyardException failure;
  private volatile CountDownLatch stallEnd = new CountDownLatch(0);
  private volatile boolean stalled;
  private final WorkerPool workers = new WorkerPool("host", 2);
  private final EventLoops loops = new EventLoops(1);
  private final PeerLinks links;
  private final ReplicatedLog log;
  private final InnerServer server;

  LogHost(HostId host, InetSocketAddress self, List<InetSocketAddress> members, Path folder) {
    this(host, self, members, folder, OPTIONS);
  }

  LogHost(
      HostId host,
      InetSocketAddress self,
      List<InetSocketAddress> members,
      Path folder,
      ReplicatedLogOptions options) {
    this(host, self, members, folder, options, Optional.empty());
  }

  /** Creates a host; its log has an open membership if one is given. */
  LogHost(
      HostId host,
      InetSocketAddress self,
      List<InetSocketAddress> members,
      Path folder,
      ReplicatedLogOptions options,
      Optional<OpenMembership> openMembership) {
    ProtocolOptions protocol = protocol(host);
    links = new PeerLinks(loops, protocol);
    Dispatcher dispatcher = new Dispatcher();
    ReplicatedLogBuilder builder =
        ReplicatedLog.builder()
            .clusterId("c1")
            .host(host, self)
            .members(members)
            .dataFolder(folder)
            .stateMachine(this)
            .network(links, dispatcher)
            .callbacks(workers)
            .random(new SecureRandom())
            .listener(this)
            .options(options);
    openMembership.ifPresent(builder::openMembership);
    log = builder.start();
    server = new InnerServer(loops, self, protocol, dispatcher, workers);
  }

  static ReplicatedLogOptions options(LogSize snapshotAfter, LogSize keep) {
    ReplicatedLogOptions defaults = ReplicatedLogOptions.defaults();
    return new ReplicatedLogOptions(
        defaults.raft(),
        defaults.tick(),
        Duration.ofMillis(50),
        defaults.sendTimeout(),
        snapshotAfter,
        keep,
        defaults.maxPending(),
        1_000);
  }

  /** Sends the request of a replica to join to a host, and waits until it is answered. */
  static void requestToJoin(Member replica, InetSocketAddress address) {
    ProtocolOptions protocol = protocol(new HostId(replica.getHostId()));
    try (EventLoops loops = new EventLoops(1);
        PeerLinks links = new PeerLinks(loops, protocol)) {
      links
          .linkTo(address)
          .call(
              RaftMethods.JOIN,
              JoinRequest.newBuilder().setSelf(replica).setNewcomer(true).build(),
              AWAIT_TIMEOUT)
          .join();
    }
  }

  private static ProtocolOptions protocol(HostId host) {
    return new ProtocolOptions(
        "c1", host, 1, new ClusterKey(new byte[16]), Duration.ofSeconds(1), 1_000);
  }

  /** Waits until the condition holds; the timeout is far above the expected time. */
  static void await(String description, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("timed out waiting for: " + description);
      }
      Thread.onSpinWait();
    }
  }

  ReplicatedLog log() {
    return log;
  }

  synchronized List<String> commands() {
    return List.copyOf(applied);
  }

  /** Makes the next command "stall" block the thread of this host's log. */
  void stallLog() {
    stallEnd = new CountDownLatch(1);
  }

  boolean isStalled() {
    return stalled;
  }

  void endStall() {
    stallEnd.countDown();
  }

  private void awaitStallEnd() {
    stalled = stallEnd.getCount() > 0;
    try {
      stallEnd.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public synchronized ByteString apply(long index, ByteString command) {
    if (command.toStringUtf8().equals("stall")) {
      awaitStallEnd();
    }
    if (command.toStringUtf8().equals("poison")) {
      throw new IllegalStateException("can't apply");
    }
    if (command.toStringUtf8().equals("exhaust")) {
      throw new OutOfMemoryError("heap of the test");
    }
    applied.add(command.toStringUtf8());
    return ByteString.copyFromUtf8("answer to " + command.toStringUtf8());
  }

  @Override
  public synchronized ByteString snapshot() {
    return ByteString.copyFromUtf8(String.join(",", applied));
  }

  @Override
  public synchronized void restore(long index, ByteString snapshot) {
    applied.clear();
    applied.addAll(List.of(snapshot.toStringUtf8().split(",")));
  }

  @Override
  public synchronized void onLeadershipChange(long term, boolean isLeader) {
    leadership.add(term + (isLeader ? " leads" : " ends"));
  }

  @Override
  public void onFailure(AlderyardException cause) {
    failure = cause;
  }

  /** Stops this host without a leadership transfer, as in a crash. */
  void kill() {
    // No message leaves the host any more when its peers learn of its end.
    links.close();
    server.close();
    log.stop();
    closeThreads();
  }

  @Override
  public void close() {
    log.close();
    server.close();
    links.close();
    closeThreads();
  }

  private void closeThreads() {
    loops.close();
    workers.close();
  }
}
