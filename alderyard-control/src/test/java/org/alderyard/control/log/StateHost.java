package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.id.HostId;
import org.alderyard.control.failover.FailoverTable;
import org.alderyard.control.state.ControlState;
import org.alderyard.protocol.wire.ClusterKey;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.EventLoops;
import org.alderyard.protocol.wire.InnerServer;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.protocol.wire.ProtocolOptions;

/** Control host with a control state inside the test process that uses real sockets and files. */
final class StateHost implements LogListener {
  final ControlState state = new ControlState(change -> {}, new FailoverTable());
  volatile AlderyardException failure;
  private final WorkerPool workers = new WorkerPool("host", 2);
  private final EventLoops loops = new EventLoops(1);
  private final PeerLinks links;
  private final ReplicatedLog log;
  private final InnerServer server;

  /**
   * Starts a host.
   *
   * @param checks whether its log refuses commands before they are appended, which a leader of an
   *     earlier build does not
   */
  StateHost(
      HostId host,
      InetSocketAddress self,
      List<InetSocketAddress> members,
      Path folder,
      boolean checks) {
    ProtocolOptions protocol =
        new ProtocolOptions(
            "c1", host, 1, new ClusterKey(new byte[16]), Duration.ofSeconds(1), 1_000);
    links = new PeerLinks(loops, protocol);
    Dispatcher dispatcher = new Dispatcher();
    log =
        ReplicatedLog.builder()
            .clusterId("c1")
            .host(host, self)
            .members(members)
            .dataFolder(folder)
            .stateMachine(checks ? state : new UncheckedState())
            .network(links, dispatcher)
            .callbacks(workers)
            .random(new SecureRandom())
            .listener(this)
            .options(LogHost.OPTIONS)
            .start();
    server = new InnerServer(loops, self, protocol, dispatcher, workers);
  }

  ReplicatedLog log() {
    return log;
  }

  @Override
  public void onFailure(AlderyardException cause) {
    failure = cause;
  }

  /** Stops this host without a leadership transfer, as in a crash. */
  void kill() {
    server.close();
    links.close();
    log.stop();
    loops.close();
    workers.close();
  }

  /** The state of this host, without its check of commands that are not in the log yet. */
  private final class UncheckedState implements StateMachine {
    @Override
    public ByteString apply(long index, ByteString command) {
      return state.apply(index, command);
    }

    @Override
    public ByteString snapshot() {
      return state.snapshot();
    }

    @Override
    public void restore(long index, ByteString snapshot) {
      state.restore(index, snapshot);
    }
  }
}
