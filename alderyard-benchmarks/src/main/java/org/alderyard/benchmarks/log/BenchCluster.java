package org.alderyard.benchmarks.log;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.alderyard.control.log.ReplicatedLogOptions;
import org.alderyard.control.log.StateMachine;
import org.alderyard.testkit.net.FreePorts;

/** In-process control hosts and a queue of the leaders that they elect. */
final class BenchCluster {
  private final Path folder;
  private final List<InetSocketAddress> members = new ArrayList<>();
  private final List<BenchHost> hosts = new ArrayList<>();
  private final BlockingQueue<BenchHost> electedLeaders = new LinkedBlockingQueue<>();

  BenchCluster(Path folder, int size) {
    this.folder = folder;
    for (int number = 0; number < size; number++) {
      members.add(FreePorts.nextAddress());
    }
    for (int number = 0; number < size; number++) {
      hosts.add(start(number));
    }
  }

  private BenchHost start(int number) {
    return new BenchHost(
        number,
        members,
        folder,
        new CountingMachine(),
        ReplicatedLogOptions.defaults(),
        electedLeaders::add);
  }

  /** Restarts a host from its data folder. */
  void restart(int number) {
    hosts.set(number, start(number));
  }

  List<BenchHost> hosts() {
    return hosts;
  }

  /** Blocks until a host becomes leader and returns the host. */
  BenchHost nextLeader() {
    try {
      return electedLeaders.take();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for a leader", interrupted);
    }
  }

  void close() {
    hosts.forEach(BenchHost::kill);
    hosts.forEach(BenchHost::releaseThreads);
  }

  /**
   * Minimal state machine that counts commands, so that its cost does not affect the measurement.
   */
  static final class CountingMachine implements StateMachine {
    private long applied;

    @Override
    public ByteString apply(long index, ByteString command) {
      applied++;
      return ByteString.EMPTY;
    }

    @Override
    public ByteString snapshot() {
      return ByteString.copyFromUtf8(Long.toString(applied));
    }

    @Override
    public void restore(long index, ByteString snapshot) {
      applied = Long.parseLong(snapshot.toStringUtf8());
    }
  }
}
