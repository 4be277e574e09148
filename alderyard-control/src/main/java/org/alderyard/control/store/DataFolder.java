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
 * Data folder of one control host. The folder is locked while it is open, and belongs to one
 * cluster, host and replica id.
 *
 * <p>The replica id is generated when the folder is created. A host with a wiped disk therefore
 * gets a new id, so that votes and acknowledgements lost with the old disk are not attributed to
 * the new replica.
 */
public final class DataFolder implements AutoCloseable {
  private static final String LOCK_FILE = "lock";
  private static final String IDENTITY_FILE = "identity";

  private final Path path;
  private final Disk disk;
  private final WriteRetry writeRetry;
  private final AtomicFile atomicFile;
  private final FileChannel lockFile;
  private FolderIdentity identity;

  private DataFolder(Path path, Disk disk, WriteRetry writeRetry, FileChannel lockFile) {
    this.path = path;
    this.disk = disk;
    this.writeRetry = writeRetry;
    atomicFile = new AtomicFile(disk, writeRetry);
    this.lockFile = lockFile;
  }

  /**
   * Opens or creates a data folder and locks it.
   *
   * @param path the path of the folder
   * @param clusterId the cluster that the folder must belong to
   * @param host the host that the folder must belong to
   * @param random generates the replica id of a new folder
   * @throws StorageException if the folder is in use by another process, belongs to another cluster
   *     or host, or is damaged
   */
  public static DataFolder open(Path path, String clusterId, HostId host, RandomGenerator random) {
    return open(path, clusterId, host, random, Disk.LOCAL, WriteRetry.forMinute());
  }

  static DataFolder open(
      Path path,
      String clusterId,
      HostId host,
      RandomGenerator random,
      Disk disk,
      WriteRetry writeRetry) {
    DataFolder folder = new DataFolder(path, disk, writeRetry, lock(path));
    try {
      folder.deleteTemporaryFiles();
      folder.loadOrCreateIdentity(clusterId, host, random);
      folder.syncNames();
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
          FileChannel.open(
              path.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      FileLock lock = tryLock(channel);
      if (lock == null) {
        channel.close();
        throw StorageException.refused(
            path, "another process uses this data folder; stop that process first");
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

  /** Syncs the names of the files, as a killed process may have renamed one without a sync. */
  private void syncNames() {
    try {
      disk.syncFolder(path);
    } catch (IOException failure) {
      throw StorageException.failed(path, 0, failure);
    }
  }

  private void deleteTemporaryFiles() {
    for (Path file : listFiles()) {
      if (file.toString().endsWith(AtomicFile.TEMPORARY_SUFFIX)) {
        delete(file);
      }
    }
  }

  private void loadOrCreateIdentity(String clusterId, HostId host, RandomGenerator random) {
    Path file = path.resolve(IDENTITY_FILE);
    if (!Files.exists(file)) {
      rejectFilesWithoutIdentity();
      writeIdentity(
          FolderIdentity.newBuilder()
              .setClusterId(clusterId)
              .setHostId(host.value())
              .setReplicaId(random.nextLong(1, Long.MAX_VALUE))
              .build());
      return;
    }
    try {
      identity = FolderIdentity.parseFrom(AtomicFile.read(file, 1).get(0));
    } catch (InvalidProtocolBufferException failure) {
      throw StorageException.damaged(file, 0, "the content is not a valid identity");
    }
    if (!identity.getClusterId().equals(clusterId)) {
      throw StorageException.refused(
          path,
          "the data folder belongs to cluster '"
              + identity.getClusterId()
              + "', but the settings specify '"
              + clusterId
              + "'; use a separate data folder for each cluster");
    }
    if (!identity.getHostId().equals(host.value())) {
      throw StorageException.refused(
          path,
          "the data folder belongs to host '"
              + identity.getHostId()
              + "', but the settings specify '"
              + host
              + "'; two hosts with copies of one folder could vote twice in a term");
    }
  }

  private void rejectFilesWithoutIdentity() {
    for (Path file : listFiles()) {
      if (!file.getFileName().toString().equals(LOCK_FILE)) {
        throw StorageException.damaged(
            path.resolve(IDENTITY_FILE),
            0,
            "the file is missing, but " + file.getFileName() + " exists");
      }
    }
  }

  /** Returns the cluster, host and replica id of this folder, and how far the host has joined. */
  public FolderIdentity identity() {
    return identity;
  }

  /** Replaces the identity, which is synced when this method returns. */
  public void writeIdentity(FolderIdentity newIdentity) {
    atomicFile.write(path.resolve(IDENTITY_FILE), List.of(newIdentity.toByteArray()));
    identity = newIdentity;
  }

  WriteRetry writeRetry() {
    return writeRetry;
  }

  /** Makes writes that wait for a full disk fail, so that the log can stop. Thread-safe. */
  public void abandonWrites() {
    writeRetry.abandon();
  }

  /** Returns the path of the folder. */
  public Path path() {
    return path;
  }

  List<Path> listFiles() {
    try (Stream<Path> files = Files.list(path)) {
      return files.sorted().toList();
    } catch (IOException failure) {
      throw StorageException.failed(path, 0, failure);
    }
  }

  void delete(Path file) {
    try {
      disk.delete(file);
    } catch (IOException failure) {
      throw StorageException.failed(file, 0, failure);
    }
  }

  @Override
  public void close() {
    try {
      lockFile.close();
    } catch (IOException failure) {
      throw StorageException.failed(path.resolve(LOCK_FILE), 0, failure);
    }
  }
}
