package org.alderyard.control.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;

/** Files that are written once as a whole: the old content or the new one is there, never a mix. */
final class WholeFile {
  static final String TEMPORARY_SUFFIX = ".tmp";

  private final SyncedFile.Opener opener;

  WholeFile(SyncedFile.Opener opener) {
    this.opener = opener;
  }

  /** Writes to a temporary name, syncs, renames and syncs the folder. */
  void write(Path path, List<byte[]> payloads) {
    Path temporary = path.resolveSibling(path.getFileName() + TEMPORARY_SUFFIX);
    try {
      Files.deleteIfExists(temporary);
      try (SyncedFile file = opener.open(temporary)) {
        for (byte[] payload : payloads) {
          ByteBuffer frame = FrameFormat.frame(payload);
          file.append(frame);
        }
        file.sync();
      }
      Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE);
      SyncedFile.syncFolder(path.toAbsolutePath().getParent());
    } catch (IOException failure) {
      throw StorageException.failed(path, 0, failure);
    }
  }

  /** Reads all frames; any fault is damage, since the file got its name only once synced. */
  static List<byte[]> read(Path path, int expected) {
    byte[] bytes = bytesOf(path);
    List<byte[]> payloads = new ArrayList<>();
    int position = 0;
    while (position < bytes.length || payloads.size() < expected) {
      int at = position;
      byte[] payload =
          FrameFormat.read(bytes, at)
              .orElseThrow(() -> StorageException.damaged(path, at, "checksum or length is wrong"));
      payloads.add(payload);
      position += FrameFormat.HEADER_BYTES + payload.length;
    }
    if (payloads.size() != expected) {
      throw StorageException.damaged(path, position, "more than " + expected + " frames");
    }
    return payloads;
  }

  static byte[] bytesOf(Path path) {
    try {
      return Files.readAllBytes(path);
    } catch (IOException failure) {
      throw StorageException.failed(path, 0, failure);
    }
  }
}
