package org.alderyard.control.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.alderyard.common.id.HostId;
import org.alderyard.protocol.generated.raft.FolderIdentity;

/**
 * The data folder of one control host: locked while it is open, and bound to a cluster, a host and
 * a replica id.
 *
 * <p>The replica id is drawn when the folder is created. So a wiped disk has another one, and the
 * promises that were lost with the disk can't be mistaken for those of the new one.
 */
public final class DataFolder implements AutoCloseable {
  private static final String LOCK = "lock";
  private static final String IDENTITY = "identity";

  private final Path path;
  private final WholeFile wholeFile;
  private final FileChannel lockFile;
  private FolderIdentity identity;

  private DataFolder(Path path, WholeFile wholeFile, FileChannel lockFile) {
    this.path = path;
    this.wholeFile = wholeFile;
    this.lockFile = lockFile;
  }

  /**
   * Opens or creates a folder.
   *
   * @param path the folder
   * @param clusterId the cluster that it must belong to
   * @param host the host that it must belong to
   * @param random draws the replica id of a new folder
   * @throws StorageException if another process uses it, it belongs to another cluster or host, or
   *     it is damaged
   */
  public static DataFolder open(Path path, String clusterId, HostId host, RandomGenerator random) {
    return open(path, clusterId, host, random, SyncedFile::openOnDisk);
  }

  static DataFolder open(
      Path path, String clusterId, HostId host, RandomGenerator random, SyncedFile.Opener opener) {
    DataFolder folder = new DataFolder(path, new WholeFile(opener), lock(path));
    try {
      folder.removeTemporaryFiles();
      folder.identify(clusterId, host, random);
      return folder;
    } catch (RuntimeException failure) {
      folder.close();
      throw failure;
    }
  }

  private static FileChannel lock(Path path) {
    try {
      Files.createDirectories(path);
      FileChannel channel =
          FileChannel.open(path.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      FileLock lock = tryLock(channel);
      if (lock == null) {
        channel.close();
        throw StorageException.refused(
            path, "another process uses this data folder; stop it first");
      }
      return channel;
    } catch (IOException failure) {
      throw StorageException.failed(path, 0, failure);
    }
  }

  private static FileLock tryLock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock();
    } catch (OverlappingFileLockException heldByThisProcess) {
      return null;
    }
  }

  private void removeTemporaryFiles() {
    for (Path file : files()) {
      if (file.toString().endsWith(WholeFile.TEMPORARY_SUFFIX)) {
        delete(file);
      }
    }
  }

  private void identify(String clusterId, HostId host, RandomGenerator random) {
    Path file = path.resolve(IDENTITY);
    if (!Files.exists(file)) {
      refuseFilesWithoutIdentity();
      write(
          FolderIdentity.newBuilder()
              .setClusterId(clusterId)
              .setHostId(host.value())
              .setReplicaId(random.nextLong(1, Long.MAX_VALUE))
              .build());
      return;
    }
    try {
      identity = FolderIdentity.parseFrom(WholeFile.read(file, 1).get(0));
    } catch (InvalidProtocolBufferException unreadable) {
      throw StorageException.damaged(file, 0, "not an identity");
    }
    if (!identity.getClusterId().equals(clusterId)) {
      throw StorageException.refused(
          path,
          "the data folder belongs to cluster '"
              + identity.getClusterId()
              + "' and the settings name '"
              + clusterId
              + "'; give each cluster its own folder");
    }
    if (!identity.getHostId().equals(host.value())) {
      throw StorageException.refused(
          path,
          "the data folder belongs to host '"
              + identity.getHostId()
              + "' and the settings name '"
              + host
              + "'; a copied folder would vote twice");
    }
  }

  private void refuseFilesWithoutIdentity() {
    for (Path file : files()) {
      if (!file.getFileName().toString().equals(LOCK)) {
        throw StorageException.damaged(
            path.resolve(IDENTITY), 0, "it is missing though " + file.getFileName() + " is there");
      }
    }
  }

  /** Returns whose folder this is. */
  public FolderIdentity identity() {
    return identity;
  }

  /** Replaces the identity; it is synced on return. */
  public void write(FolderIdentity changed) {
    wholeFile.write(path.resolve(IDENTITY), List.of(changed.toByteArray()));
    identity = changed;
  }

  /** Returns the folder. */
  public Path path() {
    return path;
  }

  List<Path> files() {
    try (Stream<Path> files = Files.list(path)) {
      return files.sorted().toList();
    } catch (IOException failure) {
      throw StorageException.failed(path, 0, failure);
    }
  }

  static void delete(Path file) {
    try {
      Files.deleteIfExists(file);
    } catch (IOException failure) {
      throw StorageException.failed(file, 0, failure);
    }
  }

  @Override
  public void close() {
    try {
      lockFile.close();
    } catch (IOException failure) {
      throw StorageException.failed(path.resolve(LOCK), 0, failure);
    }
  }
}
