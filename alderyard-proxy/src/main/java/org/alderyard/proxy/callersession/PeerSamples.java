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
 * Exchanges samples of the primaries' positions with other hosts.
 *
 * <p>Needed by a host that is cut off from a primary but not from its replicas. After the staleness
 * limit, such a host could not prove any read to be recent enough, although the replicas hold the
 * required data. A reply contains the age of its sample. This host subtracts the age from the time
 * at which it sent the request, so a slow reply only makes the sample look older than it is.
 */
final class PeerSamples {
  private static final Duration TIMEOUT = Duration.ofMillis(300);

  /** Two hosts are asked in parallel, since one of them may also be cut off. */
  private static final int PARALLEL_PEERS = 2;

  private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final PeerLinks links;
  private final HolderSelector selector;
  private final SessionContext context;
  private final AtomicInteger nextPeer = new AtomicInteger();
  private final Map<GroupId, Long> notBeforeNanos = new ConcurrentHashMap<>();

  PeerSamples(PeerLinks links, HolderSelector selector, SessionContext context) {
    this.links = links;
    this.selector = selector;
    this.context = context;
  }

  void serve(Dispatcher dispatcher) {
    dispatcher.serve(DataMethods.POSITION_SAMPLE, (peer, request) -> handleRequest(request));
  }

  private CompletableFuture<PositionSampleReply> handleRequest(PositionSampleRequest request) {
    GroupRouting routing = context.routings().of(new GroupId(request.getGroup()));
    long now = context.clock().nowNanos();
    PositionSampleReply.Builder reply = PositionSampleReply.newBuilder();
    routing
        .newestSample(now, context.wallClock().millis())
        .ifPresent(
            sample ->
                reply
                    .setPosition(StateCodec.positionMessage(sample.position()))
                    .setAgeMicros(toMicrosRoundedUp(now - sample.requestedNanos())));
    return CompletableFuture.completedFuture(reply.build());
  }

  /** Rounds up, so that a sample never looks more recent than it is. */
  private static long toMicrosRoundedUp(long nanos) {
    return TimeUnit.NANOSECONDS.toMicros(nanos) + 1;
  }

  /** Requests a sample of a group from other hosts, unless one was requested recently. */
  void requestSamples(GroupId group, long nowNanos) {
    Long notBefore = notBeforeNanos.get(group);
    if (notBefore != null && nowNanos - notBefore < 0) {
      return;
    }
    notBeforeNanos.put(group, nowNanos + MIN_INTERVAL_NANOS);
    List<HostState> peers = selector.sampleSources(context.views().current(), group);
    PositionSampleRequest request =
        PositionSampleRequest.newBuilder().setGroup(group.value()).build();
    for (int i = 0; i < Math.min(PARALLEL_PEERS, peers.size()); i++) {
      HostState peer = peers.get(Math.floorMod(nextPeer.getAndIncrement(), peers.size()));
      long sentNanos = context.clock().nowNanos();
      links
          .linkTo(peer.innerAddress())
          .call(DataMethods.POSITION_SAMPLE, request, TIMEOUT)
          .thenAccept(
              reply ->
                  decodeSample(reply, sentNanos).ifPresent(sample -> addSample(group, sample)));
    }
  }

  /**
   * Converts a reply to a sample on the clock of the requesting host; empty if the reply has none.
   */
  static Optional<PositionSamples.Sample> decodeSample(PositionSampleReply reply, long sentNanos) {
    if (!reply.hasPosition()) {
      return Optional.empty();
    }
    Position position = StateCodec.position(reply.getPosition());
    long requestedNanos = sentNanos - TimeUnit.MICROSECONDS.toNanos(reply.getAgeMicros());
    return Optional.of(new PositionSamples.Sample(requestedNanos, position));
  }

  private void addSample(GroupId group, PositionSamples.Sample sample) {
    context.routings().of(group).addSample(sample.requestedNanos(), sample.position());
  }
}
