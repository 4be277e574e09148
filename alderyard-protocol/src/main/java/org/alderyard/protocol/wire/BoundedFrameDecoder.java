package org.alderyard.protocol.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/**
 * Splits the byte stream into frames that consist of a varint length and that number of bytes.
 *
 * <p>The length is checked before any byte of a frame is buffered. Without the limit, a peer that
 * states a huge length would make the decoder buffer bytes until the process runs out of memory.
 */
final class BoundedFrameDecoder extends ByteToMessageDecoder {
  private static final int VARINT_BITS_PER_BYTE = 7;
  private static final int VARINT_MAX_BYTES = 5;
  private static final int VARINT_CONTINUATION_BIT = 0x80;
  private static final int VARINT_PAYLOAD_MASK = 0x7f;

  private volatile int maxFrameBytes;

  BoundedFrameDecoder(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /** Raises the limit once the peer is authenticated. */
  void raiseLimit(int newMaxFrameBytes) {
    maxFrameBytes = newMaxFrameBytes;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    in.markReaderIndex();
    int length = 0;
    for (int read = 0; ; read++) {
      if (read == VARINT_MAX_BYTES) {
        throw new CorruptedFrameException("the varint length of a frame exceeds 5 bytes");
      }
      if (!in.isReadable()) {
        in.resetReaderIndex();
        return;
      }
      int next = in.readByte();
      length |= (next & VARINT_PAYLOAD_MASK) << (read * VARINT_BITS_PER_BYTE);
      if ((next & VARINT_CONTINUATION_BIT) == 0) {
        break;
      }
    }
    if (length < 0 || length > maxFrameBytes) {
      throw new CorruptedFrameException("invalid frame length of " + length + " bytes");
    }
    if (in.readableBytes() < length) {
      in.resetReaderIndex();
      return;
    }
    out.add(in.readRetainedSlice(length));
  }
}
