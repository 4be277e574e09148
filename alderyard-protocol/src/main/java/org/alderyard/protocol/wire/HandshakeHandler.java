package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
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
 * Authenticates both sides of a new connection before any request passes.
 *
 * <p>Guards against a process of another cluster, or one without the key, that connects to the
 * inner port: each side signs both hellos, which hold a fresh nonce of each, so that a recorded
 * handshake can't be replayed and a proof can't be sent back to its maker.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<Envelope> {
  private static final Logger log = LoggerFactory.getLogger(HandshakeHandler.class);
  private static final SecureRandom RANDOM = new SecureRandom();
  private static final int NONCE_BYTES = 16;
  private static final String CLIENT = "client";
  private static final String SERVER = "server";

  /** The id in an error that answers no request. */
  private static final long NO_REQUEST = 0;

  private final ProtocolOptions options;
  private final boolean client;
  private final CompletableFuture<PeerIdentity> done;
  private final Hello ownHello;
  private Hello peerHello;

  HandshakeHandler(ProtocolOptions options, boolean client, CompletableFuture<PeerIdentity> done) {
    super(Envelope.class);
    this.options = options;
    this.client = client;
    this.done = done;
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
              if (!done.isDone()) {
                lose(ctx, "no handshake within " + options.connectTimeout());
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
      default -> reject(ctx, "a " + frame.getFrameCase() + " frame before the handshake");
    }
  }

  private void onHello(ChannelHandlerContext ctx, Hello hello) {
    if (peerHello != null) {
      reject(ctx, "a second hello");
      return;
    }
    if (!hello.getClusterId().equals(options.clusterId())) {
      reject(ctx, "cluster id '" + hello.getClusterId() + "'");
      return;
    }
    if (hello.getProtocolMin() > ProtocolOptions.PROTOCOL_MAX
        || hello.getProtocolMax() < ProtocolOptions.PROTOCOL_MIN) {
      reject(ctx, "protocol " + hello.getProtocolMin() + " to " + hello.getProtocolMax());
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
      reject(ctx, "a proof before the hello");
      return;
    }
    String peerSide = client ? SERVER : CLIENT;
    boolean valid =
        options.clusterKey().verify(proof.getHmac(), peerSide, clientHello(), serverHello());
    if (!valid) {
      reject(ctx, "a wrong proof");
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
    } catch (AlderyardException badName) {
      reject(ctx, badName.getMessage());
      return;
    }
    ctx.pipeline().get(BoundedFrameDecoder.class).raiseLimit(ProtocolOptions.MAX_FRAME_BYTES);
    ctx.pipeline().remove(this);
    done.complete(peer);
  }

  private void sendProof(ChannelHandlerContext ctx) {
    byte[] hmac =
        options.clusterKey().prove(client ? CLIENT : SERVER, clientHello(), serverHello());
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

  /** Tells the peer why as well: a plain close would look like a lost connection to it. */
  private void reject(ChannelHandlerContext ctx, String reason) {
    ctx.writeAndFlush(Frames.error(NO_REQUEST, rejection(ctx, reason)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private AlderyardException rejection(ChannelHandlerContext ctx, String reason) {
    log.warn("event=peer-rejected peer={} reason=\"{}\"", ctx.channel().remoteAddress(), reason);
    AlderyardException rejection =
        AlderyardException.notRun(ErrorCode.PEER_REJECTED, "peer rejected: " + reason);
    done.completeExceptionally(rejection);
    return rejection;
  }

  /** The peer's words go into no line: it has proved nothing yet. Its own log has the reason. */
  private void rejectedByPeer(ChannelHandlerContext ctx) {
    log.warn("event=rejected-by-peer peer={}", ctx.channel().remoteAddress());
    done.completeExceptionally(
        AlderyardException.notRun(ErrorCode.PEER_REJECTED, "the peer rejected this host"));
    ctx.close();
  }

  /**
   * Ends a handshake that the network or a stopped peer broke.
   *
   * <p>Guards against blame for it: a host that is frozen accepts connections and says nothing, and
   * an operator whose change went through this host was told that it is not allowed, instead of
   * being sent on.
   */
  private void lose(ChannelHandlerContext ctx, String reason) {
    log.info("event=handshake-lost peer={} reason=\"{}\"", ctx.channel().remoteAddress(), reason);
    done.completeExceptionally(AlderyardException.notRun(ErrorCode.CONNECTION_LOST, reason));
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    done.completeExceptionally(
        AlderyardException.notRun(
            ErrorCode.CONNECTION_LOST, "the connection ended during the handshake"));
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      lose(ctx, "the connection broke: " + cause.getMessage());
    } else {
      // Who sends no frames reads none.
      rejection(ctx, "a damaged frame: " + cause.getMessage());
      ctx.close();
    }
  }
}
