package org.alderyard.control.store;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.SnapshotHeader;

/** Stores and loads the snapshots of a data folder. Only the newest snapshot is kept. */
final class SnapshotFiles {
  private static final String PREFIX = "snapshot-";
  private static final String SUFFIX = ".snap";
  private static final int DIGITS = 20;
  private static final int FRAME_COUNT = 2;

  private final DataFolder folder;
  private final AtomicFile atomicFile;

  SnapshotFiles(DataFolder folder, Disk disk) {
    this.folder = folder;
    atomicFile = new AtomicFile(disk, folder.writeRetry());
  }

  /** Stores a snapshot, which is synced when this method returns, and deletes older snapshots. */
  void save(Snapshot snapshot) {
    SnapshotHeader header =
        SnapshotHeader.newBuilder()
            .setLastIndex(snapshot.lastIndex())
            .setLastTerm(snapshot.lastTerm())
            .setMembers(snapshot.membership().toMemberList())
            .setTotalBytes(snapshot.data().size())
            .build();
    Path path =
        folder
            .path()
            .resolve(NumberedFileName.format(PREFIX, snapshot.lastIndex(), DIGITS, SUFFIX));
    atomicFile.write(path, List.of(header.toByteArray(), snapshot.data().toByteArray()));
    for (Path file : snapshotFiles()) {
      if (file.getFileName().compareTo(path.getFileName()) < 0) {
        folder.delete(file);
      }
    }
  }

  /**
   * Loads the newest snapshot, if any. Fails if it is damaged: an older snapshot would not match
   * the trimmed log.
   */
  Optional<Snapshot> loadNewest() {
    List<Path> files = snapshotFiles();
    if (files.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(read(files.get(files.size() - 1)));
  }

  private static Snapshot read(Path path) {
    List<byte[]> frames = AtomicFile.read(path, FRAME_COUNT);
    try {
      SnapshotHeader header = SnapshotHeader.parseFrom(frames.get(0));
      return new Snapshot(
          header.getLastIndex(),
          header.getLastTerm(),
          new Membership(header.getMembers()),
          UnsafeByteOperations.unsafeWrap(frames.get(1)));
    } catch (InvalidProtocolBufferException failure) {
      throw StorageException.damaged(path, 0, "the content is not a valid snapshot");
    }
  }

  private List<Path> snapshotFiles() {
    return folder.listFiles().stream()
        .filter(file -> file.getFileName().toString().startsWith(PREFIX))
        .filter(file -> file.getFileName().toString().endsWith(SUFFIX))
        .toList();
  }
}
