package org.alderyard.control.log;

import java.util.ArrayDeque;
import java.util.Deque;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.RaftBatch;
import org.alderyard.protocol.generated.raft.RaftMessage;

/**
 * Messages that wait for a replica, bounded by number and bytes. A message that does not fit clears
 * the queue first, since Raft tolerates lost messages. Not thread-safe.
 */
final class MessageQueue {
  static final int MAX_BATCH_BYTES = 4 * 1024 * 1024;
  static final int MAX_MESSAGES = 4_096;
  static final long MAX_BYTES = 8L * 1024 * 1024;

  private final Deque<RaftMessage> messages = new ArrayDeque<>();
  private long bytes;

  void add(RaftMessage message) {
    long messageBytes = message.getSerializedSize();
    if (messages.size() >= MAX_MESSAGES || bytes + messageBytes > MAX_BYTES) {
      clear();
    }
    messages.addLast(message);
    bytes += messageBytes;
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /** Returns the serialized size of the queued messages. */
  long bytes() {
    return bytes;
  }

  void clear() {
    messages.clear();
    bytes = 0;
  }

  /** Removes and returns the oldest messages, up to about {@link #MAX_BATCH_BYTES}. */
  RaftBatch removeBatch(Member sender) {
    RaftBatch.Builder batch = RaftBatch.newBuilder().setSender(sender);
    int batchBytes = 0;
    while (!messages.isEmpty() && batchBytes < MAX_BATCH_BYTES) {
      RaftMessage message = messages.removeFirst();
      batchBytes += message.getSerializedSize();
      batch.addMessages(message);
    }
    bytes -= batchBytes;
    return batch.build();
  }
}
