package org.alderyard.protocol.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/**
 * Cuts the byte stream into frames of a varint length and its bytes.
 *
 * <p>Guards against a peer that states a huge length: without the limit the decoder would collect
 * bytes until the process runs out of memory. The length is checked before any byte is kept.
 */
final class BoundedFrameDecoder extends ByteToMessageDecoder {
  private static final int VARINT_SHIFT = 7;
  private static final int VARINT_MAX_BYTES = 5;
  private static final int VARINT_MORE = 0x80;
  private static final int VARINT_BITS = 0x7f;

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
        throw new CorruptedFrameException("a length of more than 5 bytes");
      }
      if (!in.isReadable()) {
        in.resetReaderIndex();
        return;
      }
      int next = in.readByte();
      length |= (next & VARINT_BITS) << (read * VARINT_SHIFT);
      if ((next & VARINT_MORE) == 0) {
        break;
      }
    }
    if (length < 0 || length > maxFrameBytes) {
      throw new CorruptedFrameException("a frame of " + length + " bytes");
    }
    if (in.readableBytes() < length) {
      in.resetReaderIndex();
      return;
    }
    out.add(in.readRetainedSlice(length));
  }
}
