package org.alderyard.control.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A file that is only appended to and then synced. */
interface SyncedFile extends AutoCloseable {

  /** Adds the bytes at the end; they last only after {@link #sync()}. */
  void append(ByteBuffer bytes) throws IOException;

  /** Returns once everything appended so far is on the disk. */
  void sync() throws IOException;

  @Override
  void close() throws IOException;

  /** Opens files; a test replaces it to let writes and syncs fail. */
  @FunctionalInterface
  interface Opener {
    /** Opens a file at its end, creating it if need be. */
    SyncedFile open(Path path) throws IOException;
  }

  /** Opens a file of the system. */
  static SyncedFile openOnDisk(Path path) throws IOException {
    FileChannel channel =
        FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    channel.position(channel.size());
    return new SyncedFile() {
      @Override
      public void append(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
          channel.write(bytes);
        }
      }

      @Override
      public void sync() throws IOException {
        channel.force(false);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  /** Syncs the names in a folder, without which a new or renamed file may be gone. */
  static void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
