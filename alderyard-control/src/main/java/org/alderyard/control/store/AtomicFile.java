package org.alderyard.control.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Replaces files atomically: after a crash, a file has either its old or its new content. */
final class AtomicFile {
  static final String TEMPORARY_SUFFIX = ".tmp";

  private final Disk disk;
  private final WriteRetry writeRetry;

  AtomicFile(Disk disk, WriteRetry writeRetry) {
    this.disk = disk;
    this.writeRetry = writeRetry;
  }

  /** Writes and syncs a temporary file, renames it to the path, and syncs the folder. */
  void write(Path path, List<byte[]> payloads) {
    Path temporary = path.resolveSibling(path.getFileName() + TEMPORARY_SUFFIX);
    try {
      writeRetry.run(() -> writeAndSync(temporary, payloads), () -> {});
      disk.rename(temporary, path);
      disk.syncFolder(path.toAbsolutePath().getParent());
    } catch (IOException failure) {
      throw StorageException.failed(path, 0, failure);
    }
  }

  private void writeAndSync(Path temporary, List<byte[]> payloads) throws IOException {
    disk.delete(temporary);
    try (SyncedFile file = disk.open(temporary)) {
      for (byte[] payload : payloads) {
        ByteBuffer frame = FrameFormat.encode(payload);
        file.append(frame);
      }
      file.sync();
    }
  }

  /**
   * Reads all frames. An incomplete frame is reported as damage and not as a torn write, since the
   * file is renamed to the path only after the sync.
   */
  static List<byte[]> read(Path path, int expectedFrames) {
    byte[] bytes = readBytes(path);
    List<byte[]> payloads = new ArrayList<>();
    int position = 0;
    while (position < bytes.length || payloads.size() < expectedFrames) {
      int framePosition = position;
      byte[] payload =
          FrameFormat.decode(bytes, framePosition)
              .orElseThrow(
                  () ->
                      StorageException.damaged(path, framePosition, "invalid checksum or length"));
      payloads.add(payload);
      position += FrameFormat.HEADER_BYTES + payload.length;
    }
    if (payloads.size() != expectedFrames) {
      throw StorageException.damaged(path, position, "more than " + expectedFrames + " frames");
    }
    return payloads;
  }

  static byte[] readBytes(Path path) {
    try {
      return Files.readAllBytes(path);
    } catch (IOException failure) {
      throw StorageException.failed(path, 0, failure);
    }
  }
}
