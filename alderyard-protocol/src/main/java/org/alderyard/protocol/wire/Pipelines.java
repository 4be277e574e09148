package org.alderyard.protocol.wire;

import io.netty.channel.Channel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.util.concurrent.CompletableFuture;
import org.alderyard.protocol.generated.envelope.Envelope;

/** Installs the channel handlers that both ends of a connection share. */
final class Pipelines {

  private Pipelines() {}

  static CompletableFuture<PeerIdentity> install(
      Channel channel, ProtocolOptions options, boolean client) {
    CompletableFuture<PeerIdentity> handshake = new CompletableFuture<>();
    channel
        .pipeline()
        .addLast(new BoundedFrameDecoder(ProtocolOptions.MAX_HANDSHAKE_FRAME_BYTES))
        .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
        .addLast(new ProtobufVarint32LengthFieldPrepender())
        .addLast(new ProtobufEncoder())
        .addLast(new HandshakeHandler(options, client, handshake));
    return handshake;
  }
}
