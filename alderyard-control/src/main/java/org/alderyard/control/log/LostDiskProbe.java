package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.protocol.generated.raft.JoinReply;
import org.alderyard.protocol.generated.raft.JoinRequest;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.wire.PeerLinks;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks a host which replica it runs once another replica than the known ones joins from it, and
 * records the known ones as lost. Used only on the serial loop.
 *
 * <p>A request to join proves nothing by itself: it may be read late, after its replica was
 * replaced too. A reply names the replica that runs after the question was sent. All replicas of
 * the host that were members by then, except that one, are gone with their disks.
 */
final class LostDiskProbe {
  private static final Logger log = LoggerFactory.getLogger(LostDiskProbe.class);

  private final PeerLinks links;
  private final SerialLoop loop;
  private final ReplicatedLogOptions options;
  private final Member self;
  private final Supplier<Optional<RaftCore>> core;
  private final Set<Long> asked = new HashSet<>();

  LostDiskProbe(
      PeerLinks links,
      SerialLoop loop,
      ReplicatedLogOptions options,
      Member self,
      Supplier<Optional<RaftCore>> core) {
    this.links = links;
    this.loop = loop;
    this.options = options;
    this.self = self;
    this.core = core;
  }

  /** Asks the host at the given address if a replica that joins may replace a known one. */
  void replicaJoins(Member joining, InetSocketAddress address) {
    List<Long> known = otherReplicas(joining);
    if (known.isEmpty() || !asked.addAll(known)) {
      return;
    }
    links
        .linkTo(address)
        .call(
            RaftMethods.JOIN, JoinRequest.newBuilder().setSelf(self).build(), options.sendTimeout())
        .whenComplete(
            (reply, failure) ->
                loop.submit(
                    () -> {
                      asked.removeAll(known);
                      if (failure == null) {
                        recordLost(known, joining.getHostId(), reply);
                      }
                    }));
  }

  /** Returns the members on the host of a replica that joins, except that replica. */
  private List<Long> otherReplicas(Member joining) {
    return core.get().stream()
        .flatMap(raft -> raft.membership().membersOnHost(joining.getHostId()).stream())
        .map(Member::getReplicaId)
        .filter(id -> id != joining.getReplicaId())
        .toList();
  }

  private void recordLost(List<Long> known, String hostId, JoinReply reply) {
    Member running = reply.getSelf();
    if (core.get().isEmpty() || !running.getHostId().equals(hostId)) {
      return;
    }
    for (long id : known) {
      if (id != running.getReplicaId() && core.get().get().recordLostDisk(id)) {
        log.info(
            "event=disk-lost host={} replica={} successor={}", hostId, id, running.getReplicaId());
      }
    }
  }
}
