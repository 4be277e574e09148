package org.alderyard.control.store;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.Effects;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.Entry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a data folder whose disk takes no bytes for some time. */
class FullDiskTest {
  private static final HostId HOST = new HostId("control-1");
  private static final int SEGMENT_BYTES = 100;

  @TempDir Path root;

  private final AtomicInteger refusals = new AtomicInteger();
  private final CountDownLatch refused = new CountDownLatch(1);

  private DataFolder open(WriteRetry retry) {
    return DataFolder.open(root, "c1", HOST, new SplittableRandom(1), this::openFile, retry);
  }

  /** Opens a file to which half of each refused write is written. */
  private SyncedFile openFile(Path path) throws IOException {
    SyncedFile real = SyncedFile.openOnDisk(path);
    return new SyncedFile() {
      @Override
      public void append(ByteBuffer bytes) throws IOException {
        if (refusals.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
          real.append(bytes.slice(0, bytes.remaining() / 2));
          refused.countDown();
          throw new IOException("No space left on device");
        }
        real.append(bytes);
      }

      @Override
      public void sync() throws IOException {
        real.sync();
      }

      @Override
      public void close() throws IOException {
        real.close();
      }
    };
  }

  private static Entry entry(long index) {
    ByteString data = ByteString.copyFromUtf8("command " + index);
    return Entry.newBuilder().setTerm(1).setIndex(index).setData(data).build();
  }

  private static Effects append(Entry entry) {
    return new Effects(
        List.of(),
        Optional.empty(),
        Optional.empty(),
        List.of(entry),
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }

  /** Guards against a host that ends, also for its callers, while its disk is full for seconds. */
  @Test
  void writesContinueOnceDiskTakesThem() {
    try (DataFolder folder = open(WriteRetry.forMinute());
        ReplicaStore store =
            new ReplicaStore(folder, Membership.EMPTY, this::openFile, SEGMENT_BYTES)) {
      for (long index = 1; index <= 8; index++) {
        refusals.set(index % 3 == 0 ? 2 : 0);
        store.sync(append(entry(index)));
      }
      refusals.set(2);
      store.save(new Snapshot(3, 1, Membership.EMPTY, ByteString.copyFromUtf8("state 3")));
    }
    refusals.set(2);
    try (DataFolder folder = open(WriteRetry.forMinute());
        ReplicaStore store =
            new ReplicaStore(folder, Membership.EMPTY, this::openFile, SEGMENT_BYTES)) {
      assertThat(store.recovered().snapshot().lastIndex()).isEqualTo(3);
      assertThat(store.recovered().tornBytes()).isEqualTo(0);
      assertThat(store.recovered().entries())
          .containsExactly(entry(4), entry(5), entry(6), entry(7), entry(8))
          .inOrder();
    }
  }

  /** Guards against a host that does not stop within its grace period while its disk is full. */
  @Test
  void abandonedWriteFailsAtOnce() throws InterruptedException {
    try (DataFolder folder = open(WriteRetry.forMinute());
        ReplicaStore store =
            new ReplicaStore(folder, Membership.EMPTY, this::openFile, SEGMENT_BYTES)) {
      refusals.set(Integer.MAX_VALUE);
      CompletableFuture<Void> write =
          CompletableFuture.runAsync(() -> store.sync(append(entry(1))));
      refused.await();
      folder.abandonWrites();
      Throwable failure = assertThrows(CompletionException.class, write::join).getCause();
      assertThat(((AlderyardException) failure).code()).isEqualTo(ErrorCode.STORAGE_FAILED);
    }
  }
}
