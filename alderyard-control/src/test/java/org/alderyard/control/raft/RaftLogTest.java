package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.junit.jupiter.api.Test;

/** Tests how much of the log is held in memory. */
class RaftLogTest {
  private static final int DATA_BYTES = 1_000;

  private final RaftLog log = new RaftLog(Snapshot.founding(Membership.EMPTY), List.of());

  private static Entry entry(long term, long index) {
    return Entry.newBuilder()
        .setTerm(term)
        .setIndex(index)
        .setKind(EntryKind.COMMAND)
        .setData(ByteString.copyFrom(new byte[DATA_BYTES]))
        .build();
  }

  private void appendAndDeliver(int count) {
    for (long index = 1; index <= count; index++) {
      log.append(entry(1, index));
    }
    log.commitTo(count);
    log.takeCommitted();
  }

  private static Snapshot snapshot(long index) {
    return new Snapshot(index, 1, Membership.EMPTY, ByteString.EMPTY);
  }

  /** Guards against a heap filled by a few large entries that are kept for slow replicas. */
  @Test
  void compactedLogKeepsNoMoreThanLimitOfBytes() {
    appendAndDeliver(100);

    log.compact(snapshot(90), new LogSize(1_000, 5 * DATA_BYTES));

    // Four entries before the snapshot, as each takes a few bytes more than its data, and ten
    // after.
    assertThat(log.retained().entries()).isEqualTo(14);
    assertThat(log.hasTermAt(86)).isTrue();
    assertThat(log.hasTermAt(85)).isFalse();
  }

  @Test
  void compactedLogKeepsNoMoreThanLimitOfEntries() {
    appendAndDeliver(100);

    log.compact(snapshot(90), LogSize.ofEntries(7));

    assertThat(log.retained().entries()).isEqualTo(17);
  }

  @Test
  void retainedBytesAreThoseOfTheEntries() {
    appendAndDeliver(50);
    log.append(entry(1, 51));
    log.append(entry(1, 52));
    log.compact(snapshot(40), LogSize.ofEntries(0));
    log.merge(List.of(entry(2, 51)));

    long bytes = 0;
    for (long index = 41; index <= 51; index++) {
      bytes += log.entry(index).getSerializedSize();
    }
    assertThat(log.retained()).isEqualTo(new LogSize(11, bytes));
    log.restore(snapshot(60));
    assertThat(log.retained()).isEqualTo(new LogSize(0, 0));
  }
}
