package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/**
 * Compresses large payloads of replies, of which those with a view go to hosts with small links.
 *
 * <p>A compressed payload consists of a zero byte, with which no message begins, the uncompressed
 * size as four bytes and the deflated message. It is sent to peers from protocol version {@link
 * #PROTOCOL} on. Requests are not compressed: the large ones contain an encrypted source, which
 * compression does not make smaller.
 */
final class PayloadCompression {
  /** The oldest protocol version of peers that read compressed payloads. */
  static final int PROTOCOL = 2;

  /** Payloads below this size are sent as they are, in bytes. */
  static final int MIN_BYTES = 4_096;

  private static final byte MARK = 0;
  private static final int HEADER_BYTES = 1 + Integer.BYTES;

  private PayloadCompression() {}

  /** Returns the payload in compressed form, or as it is if that is not larger. */
  static ByteString compress(ByteString payload) {
    if (payload.size() < MIN_BYTES) {
      return payload;
    }
    byte[] compressed = new byte[payload.size()];
    ByteBuffer.wrap(compressed).put(MARK).putInt(payload.size());
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(payload.toByteArray());
      deflater.finish();
      int length = deflater.deflate(compressed, HEADER_BYTES, compressed.length - HEADER_BYTES);
      return deflater.finished()
          ? ByteString.copyFrom(compressed, 0, HEADER_BYTES + length)
          : payload;
    } finally {
      deflater.end();
    }
  }

  /**
   * Returns the payload as it was before the compression.
   *
   * @throws AlderyardException with {@code MESSAGE_DAMAGED} if the payload can't be decompressed
   */
  static ByteString decompress(ByteString payload) {
    if (payload.isEmpty() || payload.byteAt(0) != MARK) {
      return payload;
    }
    if (payload.size() < HEADER_BYTES) {
      throw damaged("it ends in its header");
    }
    int size = payload.substring(1, HEADER_BYTES).asReadOnlyByteBuffer().getInt();
    if (size < 0 || size > ProtocolOptions.MAX_FRAME_BYTES) {
      throw damaged("it states a size of " + size + " bytes");
    }
    return inflate(payload.substring(HEADER_BYTES), size);
  }

  private static ByteString inflate(ByteString deflated, int size) {
    byte[] message = new byte[size];
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(deflated.toByteArray());
      int length = inflater.inflate(message);
      if (length < size) {
        throw damaged("it ends after " + length + " of " + size + " bytes");
      }
      return ByteString.copyFrom(message);
    } catch (DataFormatException invalid) {
      throw damaged(String.valueOf(invalid.getMessage()));
    } finally {
      inflater.end();
    }
  }

  private static AlderyardException damaged(String reason) {
    return new AlderyardException(
        ErrorCode.MESSAGE_DAMAGED,
        Outcome.OUTCOME_UNKNOWN,
        "a compressed reply can't be read: " + reason);
  }
}
