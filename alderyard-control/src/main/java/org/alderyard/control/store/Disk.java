package org.alderyard.control.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Operations that change the files of a data folder; replaced in tests to fail or to record them.
 */
@FunctionalInterface
interface Disk {
  /** The file system of this machine. */
  Disk LOCAL = SyncedFile::openOnDisk;

  /** Opens a file for appending and creates it if it does not exist. */
  SyncedFile open(Path path) throws IOException;

  /** Gives a file a new name, and replaces the file that had it. */
  default void rename(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Deletes a file if it exists. */
  default void delete(Path file) throws IOException {
    Files.deleteIfExists(file);
  }

  /** Cuts a file off at a length, and syncs it. */
  default void truncate(Path file, long lengthBytes) throws IOException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
      channel.truncate(lengthBytes);
      channel.force(true);
    }
  }

  /** Syncs the names in a folder; otherwise a new or renamed file may be lost in a crash. */
  default void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
