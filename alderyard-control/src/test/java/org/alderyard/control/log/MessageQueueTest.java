package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import org.alderyard.protocol.generated.raft.AppendRequest;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.junit.jupiter.api.Test;

/** Tests the bounds of the messages that wait for a replica. */
class MessageQueueTest {
  private static final int ENTRY_BYTES = 256 * 1024;

  private final MessageQueue queue = new MessageQueue();

  private static RaftMessage message(long index, int entryBytes) {
    ByteString data = ByteString.copyFrom(new byte[entryBytes]);
    return RaftMessage.newBuilder()
        .setTerm(index)
        .setAppendRequest(
            AppendRequest.newBuilder().addEntries(Entry.newBuilder().setIndex(index).setData(data)))
        .build();
  }

  private List<Long> removeBatch() {
    return queue.removeBatch(Member.getDefaultInstance()).getMessagesList().stream()
        .map(RaftMessage::getTerm)
        .toList();
  }

  /** Guards against a heap that messages to a replica that doesn't answer fill. */
  @Test
  void queueIsBoundedByBytes() {
    for (long index = 1; index <= 200; index++) {
      queue.add(message(index, ENTRY_BYTES));

      assertThat(queue.bytes()).isAtMost(8L * 1024 * 1024);
    }
    assertThat(queue.isEmpty()).isFalse();
  }

  @Test
  void messageAboveBoundIsSentAlone() {
    queue.add(message(1, 10));
    queue.add(message(2, (int) MessageQueue.MAX_BYTES + 1));

    assertThat(removeBatch()).containsExactly(2L);
    assertThat(queue.isEmpty()).isTrue();
    assertThat(queue.bytes()).isEqualTo(0);
  }

  @Test
  void batchesHoldMessagesInOrderUpToTheirSize() {
    for (long index = 1; index <= 20; index++) {
      queue.add(message(index, ENTRY_BYTES));
    }

    List<Long> first = removeBatch();
    List<Long> second = removeBatch();

    assertThat(first).hasSize(16);
    assertThat(first).isInOrder();
    assertThat(second).containsExactly(17L, 18L, 19L, 20L).inOrder();
    assertThat(queue.bytes()).isEqualTo(0);
  }

  @Test
  void queueIsBoundedByNumber() {
    for (long index = 1; index <= MessageQueue.MAX_MESSAGES + 1; index++) {
      queue.add(message(index, 1));
    }

    assertThat(removeBatch()).containsExactly(MessageQueue.MAX_MESSAGES + 1L);
  }
}
