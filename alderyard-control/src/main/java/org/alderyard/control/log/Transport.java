package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.RaftBatch;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.wire.PeerLinks;

/**
 * Sends messages to the other replicas: one batch at a time to each, so that they arrive in order
 * though the receiver's workers run side by side. What comes up meanwhile makes up the next batch.
 *
 * <p>Called on the loop only.
 */
final class Transport {
  private static final int MAX_BATCH_BYTES = 4 * 1024 * 1024;
  private static final int MAX_QUEUED = 4_096;

  private final PeerLinks links;
  private final SerialLoop loop;
  private final ReplicatedLogOptions options;
  private final Member self;
  private final LongFunction<Optional<InetSocketAddress>> addressOf;
  private final Map<Long, Outbox> outboxes = new HashMap<>();

  Transport(
      PeerLinks links,
      SerialLoop loop,
      ReplicatedLogOptions options,
      Member self,
      LongFunction<Optional<InetSocketAddress>> addressOf) {
    this.links = links;
    this.loop = loop;
    this.options = options;
    this.self = self;
    this.addressOf = addressOf;
  }

  void send(List<RaftMessage> messages) {
    Set<Outbox> touched = new LinkedHashSet<>();
    for (RaftMessage message : messages) {
      Outbox outbox = outboxes.computeIfAbsent(message.getTo(), Outbox::new);
      outbox.add(message);
      touched.add(outbox);
    }
    touched.forEach(Outbox::flush);
  }

  private final class Outbox {
    private final long replicaId;
    private final Deque<RaftMessage> queue = new ArrayDeque<>();
    private boolean sending;

    Outbox(long replicaId) {
      this.replicaId = replicaId;
    }

    /** A full queue loses its messages; the agreement makes up for lost messages anyway. */
    void add(RaftMessage message) {
      if (queue.size() >= MAX_QUEUED) {
        queue.clear();
      }
      queue.addLast(message);
    }

    void flush() {
      if (sending || queue.isEmpty()) {
        return;
      }
      Optional<InetSocketAddress> address = addressOf.apply(replicaId);
      if (address.isEmpty()) {
        queue.clear();
        return;
      }
      sending = true;
      links
          .to(address.get())
          .call(RaftMethods.MESSAGES, nextBatch(), options.sendTimeout())
          .whenComplete((ack, failure) -> loop.submit(() -> sent(failure)));
    }

    private RaftBatch nextBatch() {
      RaftBatch.Builder batch = RaftBatch.newBuilder().setSender(self);
      int bytes = 0;
      while (!queue.isEmpty() && bytes < MAX_BATCH_BYTES) {
        bytes += queue.peekFirst().getSerializedSize();
        batch.addMessages(queue.removeFirst());
      }
      return batch.build();
    }

    private void sent(Throwable failure) {
      sending = false;
      if (failure != null) {
        // What waited behind a dead connection is out of date; the next heartbeat starts afresh.
        queue.clear();
      }
      flush();
    }
  }
}
