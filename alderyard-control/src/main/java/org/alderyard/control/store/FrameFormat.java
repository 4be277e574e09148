package org.alderyard.control.store;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The frames of which all files are made: length, checksum of the length, checksum of the payload,
 * payload; numbers are 4 bytes, big endian; the checksums are CRC32C.
 *
 * <p>The length has a checksum of its own. Without it a damaged length in the middle of a file
 * would look like a frame that the end of the file cut short, and synced data would be dropped.
 */
final class FrameFormat {
  static final int HEADER_BYTES = 12;
  // A length of zeros must not have a checksum of zeros: unwritten space would look like frames.
  private static final int LENGTH_SALT = 0x41594c47;

  private FrameFormat() {}

  /** Returns a payload as a frame. */
  static ByteBuffer frame(byte[] payload) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    frame.putInt(payload.length);
    frame.putInt(lengthChecksum(payload.length));
    frame.putInt(checksum(payload));
    frame.put(payload);
    return frame.flip();
  }

  /** Reads the frame that starts at a position; what comes after it may be anything. */
  static Optional<byte[]> read(byte[] file, int position) {
    if (!hasHeader(file, position)) {
      return Optional.empty();
    }
    ByteBuffer header = ByteBuffer.wrap(file, position, HEADER_BYTES);
    int length = header.getInt();
    int checksum = header.getInt(position + 2 * Integer.BYTES);
    int start = position + HEADER_BYTES;
    if (length > file.length - start) {
      return Optional.empty();
    }
    byte[] payload = java.util.Arrays.copyOfRange(file, start, start + length);
    return checksum(payload) == checksum ? Optional.of(payload) : Optional.empty();
  }

  /** Returns whether a sound length stands at this position. */
  static boolean hasHeader(byte[] file, int position) {
    if (file.length - position < HEADER_BYTES) {
      return false;
    }
    ByteBuffer header = ByteBuffer.wrap(file, position, HEADER_BYTES);
    int length = header.getInt();
    return length >= 0 && header.getInt() == lengthChecksum(length);
  }

  /** Returns where the frame with the header at this position should end. */
  static long end(byte[] file, int position) {
    return (long) position + HEADER_BYTES + ByteBuffer.wrap(file).getInt(position);
  }

  /**
   * Returns whether an unreadable frame is the one that a crash cut short, and not damage.
   *
   * <p>A frame is written only after the one before it was synced. So the frame that a crash cut is
   * the last one, and nothing sound follows it.
   */
  static boolean isTornTail(byte[] file, int position) {
    if (hasHeader(file, position)) {
      return end(file, position) >= file.length;
    }
    for (int at = position + 1; at <= file.length - HEADER_BYTES; at++) {
      if (read(file, at).isPresent()) {
        return false;
      }
    }
    return true;
  }

  private static int checksum(byte[] payload) {
    CRC32C crc = new CRC32C();
    crc.update(payload);
    return (int) crc.getValue();
  }

  private static int lengthChecksum(int length) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(2 * Integer.BYTES).putInt(LENGTH_SALT).putInt(length).flip());
    return (int) crc.getValue();
  }
}
