package org.alderyard.control.store;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.SnapshotHeader;

/** The snapshots of a data folder; only the newest is kept. */
final class SnapshotFiles {
  private static final String PREFIX = "snapshot-";
  private static final String SUFFIX = ".snap";
  private static final int DIGITS = 20;
  private static final int FRAMES = 2;

  private final DataFolder folder;
  private final WholeFile wholeFile;

  SnapshotFiles(DataFolder folder, SyncedFile.Opener opener) {
    this.folder = folder;
    wholeFile = new WholeFile(opener);
  }

  /** Stores a snapshot and removes the older ones; it is synced on return. */
  void save(Snapshot snapshot) {
    SnapshotHeader header =
        SnapshotHeader.newBuilder()
            .setLastIndex(snapshot.lastIndex())
            .setLastTerm(snapshot.lastTerm())
            .setMembers(snapshot.membership().toList())
            .setTotalBytes(snapshot.data().size())
            .build();
    Path path =
        folder.path().resolve(NumberedFile.name(PREFIX, snapshot.lastIndex(), DIGITS, SUFFIX));
    wholeFile.write(path, List.of(header.toByteArray(), snapshot.data().toByteArray()));
    for (Path file : files()) {
      if (file.getFileName().compareTo(path.getFileName()) < 0) {
        DataFolder.delete(file);
      }
    }
  }

  /** Returns the newest snapshot; if it is damaged, an older one would not fit the trimmed log. */
  Optional<Snapshot> newest() {
    List<Path> files = files();
    if (files.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(read(files.get(files.size() - 1)));
  }

  private static Snapshot read(Path path) {
    List<byte[]> frames = WholeFile.read(path, FRAMES);
    try {
      SnapshotHeader header = SnapshotHeader.parseFrom(frames.get(0));
      return new Snapshot(
          header.getLastIndex(),
          header.getLastTerm(),
          new Membership(header.getMembers()),
          UnsafeByteOperations.unsafeWrap(frames.get(1)));
    } catch (InvalidProtocolBufferException unreadable) {
      throw StorageException.damaged(path, 0, "not a snapshot");
    }
  }

  private List<Path> files() {
    return folder.files().stream()
        .filter(file -> file.getFileName().toString().startsWith(PREFIX))
        .filter(file -> file.getFileName().toString().endsWith(SUFFIX))
        .toList();
  }
}
