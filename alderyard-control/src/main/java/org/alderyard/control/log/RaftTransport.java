package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.RaftBatch;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.wire.PeerLink;
import org.alderyard.protocol.wire.PeerLinks;

/**
 * Sends messages to the other replicas, with one batch in flight per replica. This keeps messages
 * in order although the receiver processes batches concurrently. Messages that are queued while a
 * batch is in flight form the next batch.
 *
 * <p>Used only on the serial loop.
 */
final class RaftTransport {
  private final PeerLinks links;
  private final SerialLoop loop;
  private final ReplicatedLogOptions options;
  private final Member self;
  private final LongFunction<Optional<InetSocketAddress>> addressOf;
  private final LongConsumer onRefused;
  private final Map<Long, Outbox> outboxes = new HashMap<>();

  /**
   * Creates a transport.
   *
   * @param onRefused called on the loop with the id of a replica whose machine refuses connections
   */
  RaftTransport(
      PeerLinks links,
      SerialLoop loop,
      ReplicatedLogOptions options,
      Member self,
      LongFunction<Optional<InetSocketAddress>> addressOf,
      LongConsumer onRefused) {
    this.links = links;
    this.loop = loop;
    this.options = options;
    this.self = self;
    this.addressOf = addressOf;
    this.onRefused = onRefused;
  }

  void send(List<RaftMessage> messages) {
    Set<Outbox> changed = new LinkedHashSet<>();
    for (RaftMessage message : messages) {
      Outbox outbox = outboxes.computeIfAbsent(message.getTo(), Outbox::new);
      outbox.queue.add(message);
      changed.add(outbox);
    }
    changed.forEach(Outbox::sendNext);
  }

  private final class Outbox {
    private final long replicaId;
    private final MessageQueue queue = new MessageQueue();
    // Written on the loop and by the thread that receives an acknowledgement.
    private volatile boolean inFlight;
    private volatile boolean queued;

    Outbox(long replicaId) {
      this.replicaId = replicaId;
    }

    void sendNext() {
      queued = !queue.isEmpty();
      if (inFlight || !queued) {
        return;
      }
      Optional<InetSocketAddress> address = addressOf.apply(replicaId);
      if (address.isEmpty()) {
        queue.clear();
        return;
      }
      inFlight = true;
      RaftBatch batch = queue.removeBatch(self);
      queued = !queue.isEmpty();
      links
          .linkTo(address.get())
          .call(RaftMethods.MESSAGES, batch, options.sendTimeout())
          .whenComplete((ack, failure) -> onSent(failure));
    }

    /**
     * Ends the batch in flight. Without a queued message the loop has nothing to do. The flags are
     * written before the other one is read, on either side, so that no message is left behind.
     */
    private void onSent(Throwable failure) {
      if (failure != null) {
        loop.submit(() -> onFailed(failure));
        return;
      }
      inFlight = false;
      if (queued) {
        loop.submit(this::sendNext);
      }
    }

    private void onFailed(Throwable failure) {
      inFlight = false;
      if (PeerLink.isRefusal(failure)) {
        onRefused.accept(replicaId);
      }
      // Messages queued behind a failed send are stale; the next heartbeat resumes replication.
      queue.clear();
      sendNext();
    }
  }
}
