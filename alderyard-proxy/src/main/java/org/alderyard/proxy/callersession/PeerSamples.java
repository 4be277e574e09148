package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.data.DataMethods;
import org.alderyard.protocol.generated.control.PositionSampleReply;
import org.alderyard.protocol.generated.control.PositionSampleRequest;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.PeerLinks;

/**
 * Samples of a primary's position from other hosts.
 *
 * <p>Guards against a host that is cut off from a primary but not from its replicas: after the age
 * bound it could prove no read any more, though the replicas hold all that is needed. The answer
 * says how long before it the primary was asked; that time is taken off the time at which this host
 * sent its question, so the way of the answer only makes the sample look older than it is.
 */
final class PeerSamples {
  private static final Duration TIMEOUT = Duration.ofMillis(300);

  /** Two are asked at a time: one of them may be cut off as well. */
  private static final int PEERS = 2;

  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final PeerLinks links;
  private final Holders holders;
  private final SessionParts parts;
  private final AtomicInteger next = new AtomicInteger();
  private final Map<GroupId, Long> notBeforeNanos = new ConcurrentHashMap<>();

  PeerSamples(PeerLinks links, Holders holders, SessionParts parts) {
    this.links = links;
    this.holders = holders;
    this.parts = parts;
  }

  void serve(Dispatcher dispatcher) {
    dispatcher.serve(DataMethods.POSITION_SAMPLE, (peer, request) -> answer(request));
  }

  private CompletableFuture<PositionSampleReply> answer(PositionSampleRequest request) {
    GroupRouting routing = parts.routings().of(new GroupId(request.getGroup()));
    long now = parts.clock().nowNanos();
    PositionSampleReply.Builder reply = PositionSampleReply.newBuilder();
    routing
        .newestSample(now, parts.wallClock().millis())
        .ifPresent(
            sample ->
                reply
                    .setPosition(StateCodec.positionMessage(sample.position()))
                    .setAgeMicros(micros(now - sample.askedNanos())));
    return CompletableFuture.completedFuture(reply.build());
  }

  /** Rounded up, so that a sample never looks younger than it is. */
  private static long micros(long nanos) {
    return TimeUnit.NANOSECONDS.toMicros(nanos) + 1;
  }

  /** Asks other hosts for a sample of a group. */
  void ask(GroupId group, long nowNanos) {
    Long notBefore = notBeforeNanos.get(group);
    if (notBefore != null && nowNanos - notBefore < 0) {
      return;
    }
    notBeforeNanos.put(group, nowNanos + PAUSE_NANOS);
    List<HostState> peers = holders.wellInformed(parts.views().current(), group);
    PositionSampleRequest request =
        PositionSampleRequest.newBuilder().setGroup(group.value()).build();
    for (int i = 0; i < Math.min(PEERS, peers.size()); i++) {
      HostState peer = peers.get(Math.floorMod(next.getAndIncrement(), peers.size()));
      long sent = parts.clock().nowNanos();
      links
          .to(peer.innerAddress())
          .call(DataMethods.POSITION_SAMPLE, request, TIMEOUT)
          .thenAccept(reply -> sample(reply, sent).ifPresent(taken -> take(group, taken)));
    }
  }

  /** Returns the sample of an answer, on the clock of the host that asked. */
  static Optional<PositionSamples.Sample> sample(PositionSampleReply reply, long sentNanos) {
    if (!reply.hasPosition()) {
      return Optional.empty();
    }
    Position position = StateCodec.position(reply.getPosition());
    long askedNanos = sentNanos - TimeUnit.MICROSECONDS.toNanos(reply.getAgeMicros());
    return Optional.of(new PositionSamples.Sample(askedNanos, position));
  }

  private void take(GroupId group, PositionSamples.Sample sample) {
    parts.routings().of(group).sampled(sample.askedNanos(), sample.position());
  }
}
