package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;

/**
 * Encodes replies and keeps the bytes of the last large one, so that a message that many peers wait
 * for is encoded once.
 *
 * <p>Used where many hosts fetch the same view at once. Thread-safe; a lost race only repeats an
 * encoding.
 */
final class SharedEncoding {
  /** Size from which a reply is kept, in bytes; smaller ones would only displace it. */
  static final int MIN_KEPT_BYTES = 1_024;

  private volatile Kept kept = new Kept(null, ByteString.EMPTY);
  private volatile Kept keptCompressed = new Kept(null, ByteString.EMPTY);

  /** A message, compared by identity, and its bytes. */
  private record Kept(MessageLite message, ByteString bytes) {}

  /** Returns the bytes of a message. */
  ByteString encode(MessageLite message) {
    Kept last = kept;
    if (last.message() == message) {
      return last.bytes();
    }
    ByteString bytes = message.toByteString();
    if (bytes.size() >= MIN_KEPT_BYTES) {
      kept = new Kept(message, bytes);
    }
    return bytes;
  }

  /** Returns the bytes of a message for a peer that reads compressed payloads. */
  ByteString encodeCompressed(MessageLite message) {
    Kept last = keptCompressed;
    if (last.message() == message) {
      return last.bytes();
    }
    ByteString bytes = encode(message);
    ByteString compressed = PayloadCompression.compress(bytes);
    if (bytes.size() >= MIN_KEPT_BYTES) {
      keptCompressed = new Kept(message, compressed);
    }
    return compressed;
  }
}
