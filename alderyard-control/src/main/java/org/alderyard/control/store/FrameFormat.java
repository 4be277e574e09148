package org.alderyard.control.store;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the frames of all files. A frame consists of the length, a checksum of the
 * length, a checksum of the payload, and the payload. Numbers are 4-byte big-endian integers, and
 * checksums are CRC32C.
 *
 * <p>The length has a separate checksum. Otherwise a damaged length in the middle of a file would
 * be taken for a frame truncated by a crash, and synced data would be dropped.
 */
final class FrameFormat {
  static final int HEADER_BYTES = 12;
  // Prevents a zero length from having a zero checksum: zeroed space would be read as valid frames.
  private static final int LENGTH_SALT = 0x41594c47;

  private FrameFormat() {}

  /** Encodes a payload as a frame. */
  static ByteBuffer encode(byte[] payload) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    frame.putInt(payload.length);
    frame.putInt(lengthChecksum(payload.length));
    frame.putInt(checksum(payload));
    frame.put(payload);
    return frame.flip();
  }

  /**
   * Decodes the frame at a position, or returns empty if the frame is incomplete or damaged. The
   * bytes after the frame are ignored.
   */
  static Optional<byte[]> decode(byte[] file, int position) {
    if (!hasValidHeader(file, position)) {
      return Optional.empty();
    }
    ByteBuffer header = ByteBuffer.wrap(file, position, HEADER_BYTES);
    int length = header.getInt();
    int checksum = header.getInt(position + 2 * Integer.BYTES);
    int payloadStart = position + HEADER_BYTES;
    if (length > file.length - payloadStart) {
      return Optional.empty();
    }
    byte[] payload = java.util.Arrays.copyOfRange(file, payloadStart, payloadStart + length);
    return checksum(payload) == checksum ? Optional.of(payload) : Optional.empty();
  }

  /** Returns whether there is a header with a valid length checksum at this position. */
  static boolean hasValidHeader(byte[] file, int position) {
    if (file.length - position < HEADER_BYTES) {
      return false;
    }
    ByteBuffer header = ByteBuffer.wrap(file, position, HEADER_BYTES);
    int length = header.getInt();
    return length >= 0 && header.getInt() == lengthChecksum(length);
  }

  /** Returns the end position of the frame, as given by the header at this position. */
  static long frameEnd(byte[] file, int position) {
    return (long) position + HEADER_BYTES + ByteBuffer.wrap(file).getInt(position);
  }

  /**
   * Returns whether an unreadable frame was truncated by a crash, and is not damaged.
   *
   * <p>A frame is written only after the previous frame has been synced. A truncated frame is
   * therefore the last frame, and no valid frame follows it.
   */
  static boolean isTornTail(byte[] file, int position) {
    if (hasValidHeader(file, position)) {
      return frameEnd(file, position) >= file.length;
    }
    for (int candidate = position + 1; candidate <= file.length - HEADER_BYTES; candidate++) {
      if (decode(file, candidate).isPresent()) {
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
