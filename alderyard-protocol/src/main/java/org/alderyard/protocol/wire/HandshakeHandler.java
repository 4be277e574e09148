package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.protocol.generated.envelope.Envelope;
import org.alderyard.protocol.generated.envelope.Hello;
import org.alderyard.protocol.generated.envelope.HelloProof;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Authenticates both sides of a new connection before any request is accepted.
 *
 * <p>Each side signs both hellos, which contain a fresh nonce of each side. A process of another
 * cluster or without the key is rejected, a recorded handshake can't be replayed, and a proof can't
 * be reflected to its sender.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<Envelope> {
  private static final Logger log = LoggerFactory.getLogger(HandshakeHandler.class);
  private static final SecureRandom RANDOM = new SecureRandom();
  private static final int NONCE_BYTES = 16;
  private static final String CLIENT = "client";
  private static final String SERVER = "server";

  private static final AttributeKey<Integer> PROTOCOL =
      AttributeKey.valueOf(HandshakeHandler.class, "protocol");

  /** The correlation ID of an error that does not belong to a request. */
  private static final long NO_REQUEST = 0;

  private final ProtocolOptions options;
  private final boolean client;
  private final CompletableFuture<PeerIdentity> handshake;
  private final Hello ownHello;
  private Hello peerHello;

  HandshakeHandler(
      ProtocolOptions options, boolean client, CompletableFuture<PeerIdentity> handshake) {
    super(Envelope.class);
    this.options = options;
    this.client = client;
    this.handshake = handshake;
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    ownHello =
        Hello.newBuilder()
            .setHostId(options.host().value())
            .setIncarnation(options.incarnation())
            .setClusterId(options.clusterId())
            .setProtocolMin(ProtocolOptions.PROTOCOL_MIN)
            .setProtocolMax(ProtocolOptions.PROTOCOL_MAX)
            .setNonce(ByteString.copyFrom(nonce))
            .build();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    ctx.executor()
        .schedule(
            () -> {
              if (!handshake.isDone()) {
                failHandshake(ctx, "handshake not completed within " + options.connectTimeout());
              }
            },
            options.connectTimeout().toMillis(),
            TimeUnit.MILLISECONDS);
    if (client) {
      ctx.writeAndFlush(Envelope.newBuilder().setHello(ownHello).build());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Envelope frame) {
    switch (frame.getFrameCase()) {
      case HELLO -> onHello(ctx, frame.getHello());
      case HELLO_PROOF -> onProof(ctx, frame.getHelloProof());
      case ERROR -> rejectedByPeer(ctx);
      default -> reject(ctx, "received a " + frame.getFrameCase() + " frame before the handshake");
    }
  }

  private void onHello(ChannelHandlerContext ctx, Hello hello) {
    if (peerHello != null) {
      reject(ctx, "received a second hello");
      return;
    }
    if (!hello.getClusterId().equals(options.clusterId())) {
      reject(ctx, "unexpected cluster id '" + hello.getClusterId() + "'");
      return;
    }
    if (hello.getProtocolMin() > ProtocolOptions.PROTOCOL_MAX
        || hello.getProtocolMax() < ProtocolOptions.PROTOCOL_MIN) {
      reject(
          ctx,
          "unsupported protocol versions "
              + hello.getProtocolMin()
              + " to "
              + hello.getProtocolMax());
      return;
    }
    peerHello = hello;
    if (client) {
      sendProof(ctx);
    } else {
      ctx.writeAndFlush(Envelope.newBuilder().setHello(ownHello).build());
    }
  }

  private void onProof(ChannelHandlerContext ctx, HelloProof proof) {
    if (peerHello == null) {
      reject(ctx, "received a proof before the hello");
      return;
    }
    String peerSide = client ? SERVER : CLIENT;
    boolean valid =
        options.clusterKey().verify(proof.getHmac(), peerSide, clientHello(), serverHello());
    if (!valid) {
      reject(ctx, "the proof is invalid");
      return;
    }
    if (!client) {
      sendProof(ctx);
    }
    accept(ctx);
  }

  private void accept(ChannelHandlerContext ctx) {
    PeerIdentity peer;
    try {
      peer = new PeerIdentity(new HostId(peerHello.getHostId()), peerHello.getIncarnation());
    } catch (AlderyardException invalidName) {
      reject(ctx, invalidName.getMessage());
      return;
    }
    ctx.pipeline().get(BoundedFrameDecoder.class).raiseLimit(ProtocolOptions.MAX_FRAME_BYTES);
    ctx.channel()
        .attr(PROTOCOL)
        .set(Math.min(peerHello.getProtocolMax(), ProtocolOptions.PROTOCOL_MAX));
    ctx.pipeline().remove(this);
    handshake.complete(peer);
  }

  /** Returns the protocol version of a connection whose handshake is complete. */
  static int protocolOf(Channel channel) {
    return channel.attr(PROTOCOL).get();
  }

  private void sendProof(ChannelHandlerContext ctx) {
    byte[] hmac =
        options.clusterKey().computeProof(client ? CLIENT : SERVER, clientHello(), serverHello());
    ctx.writeAndFlush(
        Envelope.newBuilder()
            .setHelloProof(HelloProof.newBuilder().setHmac(ByteString.copyFrom(hmac)))
            .build());
  }

  private Hello clientHello() {
    return client ? ownHello : peerHello;
  }

  private Hello serverHello() {
    return client ? peerHello : ownHello;
  }

  /**
   * Sends the reason to the peer before closing: the peer would take a plain close for a lost
   * connection.
   */
  private void reject(ChannelHandlerContext ctx, String reason) {
    ctx.writeAndFlush(Frames.error(NO_REQUEST, failRejected(ctx, reason)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private AlderyardException failRejected(ChannelHandlerContext ctx, String reason) {
    log.warn("event=peer-rejected peer={} reason=\"{}\"", ctx.channel().remoteAddress(), reason);
    AlderyardException rejection =
        AlderyardException.notRun(ErrorCode.PEER_REJECTED, "peer rejected: " + reason);
    handshake.completeExceptionally(rejection);
    return rejection;
  }

  /**
   * Handles a rejection by the peer. The peer's message is not logged because the peer is not
   * authenticated; the log of the peer contains the reason.
   */
  private void rejectedByPeer(ChannelHandlerContext ctx) {
    log.warn("event=rejected-by-peer peer={}", ctx.channel().remoteAddress());
    handshake.completeExceptionally(
        AlderyardException.notRun(ErrorCode.PEER_REJECTED, "the peer rejected this host"));
    ctx.close();
  }

  /**
   * Fails a handshake that was interrupted by the network or an unresponsive peer.
   *
   * <p>The failure must not count as a rejection. A frozen host accepts connections and sends
   * nothing; as a rejection, this was reported to an operator as a change that is not allowed,
   * instead of being retried at another host.
   */
  private void failHandshake(ChannelHandlerContext ctx, String reason) {
    log.info("event=handshake-lost peer={} reason=\"{}\"", ctx.channel().remoteAddress(), reason);
    handshake.completeExceptionally(AlderyardException.notRun(ErrorCode.CONNECTION_LOST, reason));
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    handshake.completeExceptionally(
        AlderyardException.notRun(
            ErrorCode.CONNECTION_LOST, "the connection was closed during the handshake"));
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      failHandshake(ctx, "the connection failed: " + cause.getMessage());
    } else {
      // A peer that sends invalid frames can't read an error frame.
      failRejected(ctx, "invalid frame: " + cause.getMessage());
      ctx.close();
    }
  }
}
