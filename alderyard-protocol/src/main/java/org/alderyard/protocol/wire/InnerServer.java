package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.protocol.generated.envelope.Envelope;
import org.alderyard.protocol.generated.envelope.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Listens on the inner port and passes requests of authenticated peers to the dispatcher. */
public final class InnerServer implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(InnerServer.class);

  private final ProtocolOptions options;
  private final Dispatcher dispatcher;
  private final Executor workers;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final SharedEncoding encoding = new SharedEncoding();
  private final Channel listener;

  /**
   * Binds the port.
   *
   * @throws AlderyardException with {@code SETTINGS_INVALID} if the address can't be bound
   */
  public InnerServer(
      EventLoops loops,
      InetSocketAddress address,
      ProtocolOptions options,
      Dispatcher dispatcher,
      Executor workers) {
    this.options = options;
    this.dispatcher = dispatcher;
    this.workers = workers;
    listener = bind(loops, address);
    log.info("event=inner-listening address={}", listener.localAddress());
  }

  private Channel bind(EventLoops loops, InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops.group())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                });
    var bindResult = bootstrap.bind(address).awaitUninterruptibly();
    if (bindResult.isSuccess()) {
      return bindResult.channel();
    }
    String reason =
        bindResult.cause() instanceof BindException
            ? "the address is in use"
            : bindResult.cause().toString();
    throw AlderyardException.notRun(
        ErrorCode.SETTINGS_INVALID, "inner port " + address + " can't be bound: " + reason);
  }

  private void accept(Channel channel) {
    connections.add(channel);
    CompletableFuture<PeerIdentity> handshake = Pipelines.install(channel, options, false);
    handshake.thenAccept(
        peer -> {
          log.debug("event=peer-accepted peer={}", peer);
          channel.pipeline().addLast(new RequestHandler(peer));
        });
  }

  /** Returns the bound address, with the assigned port if port 0 was requested. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  /**
   * Handles the requests of one connection. Reading is suspended while too many requests have no
   * reply.
   */
  private final class RequestHandler extends SimpleChannelInboundHandler<Envelope> {
    private final PeerIdentity peer;
    private final AtomicInteger unanswered = new AtomicInteger();

    RequestHandler(PeerIdentity peer) {
      super(Envelope.class);
      this.peer = peer;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope frame) {
      switch (frame.getFrameCase()) {
        case REQUEST -> onRequest(ctx.channel(), frame.getRequest());
        case ONE_WAY ->
            workers.execute(
                () ->
                    dispatcher.dispatch(
                        peer, frame.getOneWay().getMethod(), frame.getOneWay().getPayload()));
        default -> {
          log.warn("event=frame-unexpected peer={} frame={}", peer, frame.getFrameCase());
          ctx.close();
        }
      }
    }

    private void onRequest(Channel channel, Request request) {
      if (unanswered.incrementAndGet() >= options.maxOutstanding()) {
        channel.config().setAutoRead(false);
      }
      if (dispatcher.runsOnNetworkThread(request.getMethod())) {
        dispatch(channel, request);
      } else {
        workers.execute(() -> dispatch(channel, request));
      }
    }

    private void dispatch(Channel channel, Request request) {
      dispatcher
          .dispatch(peer, request.getMethod(), request.getPayload())
          .whenComplete((reply, failure) -> sendReply(channel, request, reply, failure));
    }

    private void sendReply(Channel channel, Request request, MessageLite reply, Throwable failure) {
      if (unanswered.decrementAndGet() < options.maxOutstanding()) {
        channel.config().setAutoRead(true);
      }
      long id = request.getCorrelationId();
      channel.writeAndFlush(
          failure == null ? Frames.reply(id, encode(channel, reply)) : Frames.error(id, failure));
    }

    private ByteString encode(Channel channel, MessageLite reply) {
      return HandshakeHandler.protocolOf(channel) >= PayloadCompression.PROTOCOL
          ? encoding.encodeCompressed(reply)
          : encoding.encode(reply);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.warn("event=connection-failed peer={} cause=\"{}\"", peer, cause.toString());
      ctx.close();
    }
  }
}
