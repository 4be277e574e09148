package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.wire.PeerLinks;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out whether the process of a replica has ended once a connection to it ends: a machine
 * without the process refuses the next connection. A connection that was only reset is opened
 * again, and a machine without power does not answer. Used only on the serial loop.
 */
final class EndedProcessProbe {
  private static final Logger log = LoggerFactory.getLogger(EndedProcessProbe.class);

  /** A process that ends may still accept a connection after it has closed another one. */
  private static final int MAX_ATTEMPTS = 5;

  private static final Duration RETRY_DELAY = Duration.ofMillis(20);

  private final PeerLinks links;
  private final SerialLoop loop;
  private final WorkerPool workers;
  private final Supplier<Optional<RaftCore>> core;
  private final Function<Member, Optional<InetSocketAddress>> addressOf;
  private final LongConsumer onEnded;
  private final Set<InetSocketAddress> probed = new HashSet<>();

  /**
   * Creates a probe.
   *
   * @param core the replica of this host; empty while its log is closed
   * @param addressOf the inner address of a member
   * @param onEnded called on the loop with the id of each replica whose process has ended
   */
  EndedProcessProbe(
      PeerLinks links,
      SerialLoop loop,
      WorkerPool workers,
      Supplier<Optional<RaftCore>> core,
      Function<Member, Optional<InetSocketAddress>> addressOf,
      LongConsumer onEnded) {
    this.links = links;
    this.loop = loop;
    this.workers = workers;
    this.core = core;
    this.addressOf = addressOf;
    this.onEnded = onEnded;
  }

  /** Connects again to an address if it is that of a member. */
  void connectionEnded(InetSocketAddress address) {
    if (!membersAt(address).isEmpty() && probed.add(address)) {
      connect(address, 1);
    }
  }

  private List<Member> membersAt(InetSocketAddress address) {
    return core.get().stream()
        .flatMap(raft -> raft.membership().members().stream())
        .filter(member -> addressOf.apply(member).equals(Optional.of(address)))
        .toList();
  }

  private void connect(InetSocketAddress address, int attempt) {
    links
        .linkTo(address)
        .isRefused()
        .whenComplete(
            (refused, failure) -> loop.submit(() -> onConnect(address, attempt, refused, failure)));
  }

  private void onConnect(
      InetSocketAddress address, int attempt, Boolean refused, Throwable failure) {
    if (failure != null && attempt < MAX_ATTEMPTS) {
      workers.schedule(
          RETRY_DELAY, () -> loop.submitOnExecutor(() -> connect(address, attempt + 1)));
      return;
    }
    probed.remove(address);
    if (failure != null || !refused) {
      return;
    }
    for (Member member : membersAt(address)) {
      log.info("event=process-ended host={} replica={}", member.getHostId(), member.getReplicaId());
      onEnded.accept(member.getReplicaId());
    }
  }
}
