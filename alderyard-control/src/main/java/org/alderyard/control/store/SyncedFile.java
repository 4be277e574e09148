package org.alderyard.control.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Append-only file with explicit syncs to the disk. */
interface SyncedFile extends AutoCloseable {

  /** Appends the bytes at the end of the file; they are durable only after {@link #sync()}. */
  void append(ByteBuffer bytes) throws IOException;

  /** Writes all appended bytes to the disk before it returns. */
  void sync() throws IOException;

  @Override
  void close() throws IOException;

  /** Opens a file in the file system for appending and creates it if it does not exist. */
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
}
