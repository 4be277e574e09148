package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.protocol.generated.envelope.Envelope;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection to one other process, opened at the first use and reopened after a failure.
 *
 * <p>A request that was not written fails as {@code NOT_RUN}. A request that was written and has no
 * reply fails as {@code OUTCOME_UNKNOWN}, since the peer may have executed it.
 */
public final class PeerLink implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(PeerLink.class);

  /**
   * A shorter interval may be a pause of the peer and must not fail the other requests of the
   * connection.
   */
  private static final Duration MIN_READ_IDLE_TIME = Duration.ofMillis(700);

  private final EventLoops loops;
  private final InetSocketAddress address;
  private final ProtocolOptions options;
  private final AtomicLong nextCorrelationId = new AtomicLong(1);
  private final Object lock = new Object();
  private final MonotonicClock clock;
  private final Runnable onDisconnect;

  // Guarded by lock; null before the first use and after a failure.
  private CompletableFuture<Connection> connectionFuture;
  private boolean closed;

  /** Creates a link that connects at its first use. */
  public PeerLink(
      EventLoops loops, InetSocketAddress address, ProtocolOptions options, MonotonicClock clock) {
    this(loops, address, options, clock, () -> {});
  }

  /**
   * Creates a link that connects at its first use.
   *
   * @param onDisconnect called on a network thread after an open connection has ended
   */
  PeerLink(
      EventLoops loops,
      InetSocketAddress address,
      ProtocolOptions options,
      MonotonicClock clock,
      Runnable onDisconnect) {
    this.loops = loops;
    this.address = address;
    this.options = options;
    this.clock = clock;
    this.onDisconnect = onDisconnect;
  }

  /** Returns the address on which the peer listens. */
  public InetSocketAddress address() {
    return address;
  }

  /** Sends a request. The future completes with the reply or fails with a typed error. */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
      Method<Q, R> method, Q request, Duration timeout) {
    return call(method, request, timeout, MIN_READ_IDLE_TIME);
  }

  /**
   * Sends a request to a peer that may leave some requests without a timely reply under load.
   *
   * @param readIdleTimeout the time without any received frame after which the connection is closed
   *     if the request times out
   * @return the reply, or a future that fails with a typed error
   */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
      Method<Q, R> method, Q request, Duration timeout, Duration readIdleTimeout) {
    return connection()
        .thenCompose(
            connection ->
                connection.send(
                    method.number(),
                    method.name(),
                    request.toByteString(),
                    timeout,
                    readIdleTimeout))
        .thenApply(payload -> parse(method, payload));
  }

  /**
   * Returns a future that completes once the link is connected and fails with {@code NOT_RUN} after
   * the given time. The connection attempt continues for later requests.
   */
  public CompletableFuture<Void> whenConnected(Duration limit) {
    CompletableFuture<Void> open = connection().thenApply(connection -> null);
    return open.isDone()
        ? open
        : open.orTimeout(limit.toNanos(), TimeUnit.NANOSECONDS)
            .exceptionallyCompose(
                failure ->
                    CompletableFuture.failedFuture(
                        AlderyardException.notRun(
                            ErrorCode.CONNECTION_LOST,
                            "no connection to "
                                + address
                                + ": "
                                + Futures.toAlderyardException(failure).code())));
  }

  /**
   * Connects if the link is not connected, and returns whether the peer refused it: its machine
   * runs, and no process listens at the address. Fails if the connection fails otherwise.
   */
  public CompletableFuture<Boolean> isRefused() {
    return connection()
        .handle(
            (connection, failure) -> {
              if (failure == null) {
                return false;
              }
              if (isRefusal(failure)) {
                return true;
              }
              throw Futures.toAlderyardException(failure);
            });
  }

  /**
   * Returns whether a call failed because the peer refused the connection: its machine runs, and no
   * process listens at the address.
   */
  public static boolean isRefusal(Throwable failure) {
    Throwable cause = Futures.toAlderyardException(failure).getCause();
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  /** Returns whether the link is currently connected. */
  public boolean isConnected() {
    synchronized (lock) {
      return connectionFuture != null
          && connectionFuture.isDone()
          && !connectionFuture.isCompletedExceptionally();
    }
  }

  private static <R extends MessageLite> R parse(Method<?, R> method, ByteString payload) {
    try {
      return method.replyParser().parseFrom(payload);
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.unknown(
          ErrorCode.INTERNAL, "reply of " + method.name() + " can't be read", damaged);
    }
  }

  private CompletableFuture<Connection> connection() {
    synchronized (lock) {
      if (closed) {
        return CompletableFuture.failedFuture(
            AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "the link is closed"));
      }
      if (connectionFuture == null || connectionFuture.isCompletedExceptionally()) {
        connectionFuture = connect();
      }
      return connectionFuture;
    }
  }

  private CompletableFuture<Connection> connect() {
    CompletableFuture<Connection> result = new CompletableFuture<>();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loops.group())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) options.connectTimeout().toMillis())
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    Pipelines.install(channel, options, true)
                        .whenComplete((peer, failure) -> onHandshake(channel, result, failure));
                  }
                });
    bootstrap
        .connect(address)
        .addListener(
            connected -> {
              if (!connected.isSuccess()) {
                result.completeExceptionally(
                    new AlderyardException(
                        ErrorCode.CONNECTION_LOST,
                        Outcome.NOT_RUN,
                        "no connection to " + address + ": " + connected.cause().getMessage(),
                        connected.cause()));
              }
            });
    return result;
  }

  private void onHandshake(Channel channel, CompletableFuture<Connection> result, Throwable error) {
    if (error != null) {
      result.completeExceptionally(error);
      return;
    }
    Connection connection = new Connection(channel, result);
    channel.pipeline().addLast(connection);
    result.complete(connection);
  }

  private void discard(CompletableFuture<Connection> failed) {
    synchronized (lock) {
      if (connectionFuture == failed) {
        connectionFuture = null;
      }
    }
  }

  @Override
  public void close() {
    CompletableFuture<Connection> last;
    synchronized (lock) {
      closed = true;
      last = connectionFuture;
      connectionFuture = null;
    }
    if (last != null) {
      last.thenAccept(connection -> connection.channel.close());
    }
  }

  /** An authenticated connection and its requests without a reply. */
  private final class Connection extends SimpleChannelInboundHandler<Envelope> {
    private final Channel channel;
    private final CompletableFuture<Connection> self;
    private final Map<Long, CompletableFuture<ByteString>> pendingReplies =
        new ConcurrentHashMap<>();
    private volatile boolean failed;
    private volatile long framesRead;
    private volatile long lastReadNanos = clock.nowNanos();

    Connection(Channel channel, CompletableFuture<Connection> self) {
      super(Envelope.class);
      this.channel = channel;
      this.self = self;
    }

    CompletableFuture<ByteString> send(
        int method, String name, ByteString payload, Duration timeout, Duration readIdleTimeout) {
      if (pendingReplies.size() >= options.maxOutstanding()) {
        return CompletableFuture.failedFuture(
            AlderyardException.notRun(
                ErrorCode.OVERLOADED, "too many requests without a reply at " + address));
      }
      long id = nextCorrelationId.getAndIncrement();
      final long framesReadBefore = framesRead;
      CompletableFuture<ByteString> reply = new CompletableFuture<>();
      pendingReplies.put(id, reply);
      if (failed) {
        // The connection failed between the lookup and the registration above: nothing else would
        // complete this future, and the request was never written.
        pendingReplies.remove(id);
        return CompletableFuture.failedFuture(
            AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "connection lost: " + address));
      }
      channel
          .writeAndFlush(Frames.request(id, method, payload, timeout))
          .addListener(
              written -> {
                if (!written.isSuccess()) {
                  fail(id, "can't write: " + written.cause(), Outcome.OUTCOME_UNKNOWN);
                }
              });
      var timer =
          channel
              .eventLoop()
              .schedule(
                  () -> {
                    CompletableFuture<ByteString> expired = pendingReplies.remove(id);
                    if (expired != null) {
                      // Closed before the failure is reported: the receiver of the failure may
                      // retry immediately.
                      closeIfUnresponsive(framesReadBefore, timeout, readIdleTimeout);
                      expired.completeExceptionally(
                          new AlderyardException(
                              ErrorCode.DEADLINE_EXCEEDED,
                              Outcome.OUTCOME_UNKNOWN,
                              name + " at " + address + " gave no reply in " + timeout));
                    }
                  },
                  timeout.toNanos(),
                  TimeUnit.NANOSECONDS);
      reply.whenComplete((receivedPayload, failure) -> timer.cancel(false));
      return reply;
    }

    /**
     * Closes a connection on which nothing was received during the whole timeout of a request.
     *
     * <p>After a network partition, an old connection may stay unresponsive forever or wait seconds
     * before it retransmits lost data, while new connections work. Without the close, this host
     * would stay without a view. The next request opens a new connection.
     */
    private void closeIfUnresponsive(
        long framesReadBefore, Duration timeout, Duration readIdleTimeout) {
      long readIdleNanos = clock.nowNanos() - lastReadNanos;
      boolean unresponsive =
          framesRead == framesReadBefore
              && timeout.compareTo(MIN_READ_IDLE_TIME) >= 0
              && readIdleNanos >= readIdleTimeout.toNanos();
      if (unresponsive) {
        log.info("event=connection-silent peer={} waited={}", address, timeout);
        discard(self);
        channel.close();
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope frame) {
      framesRead++;
      lastReadNanos = clock.nowNanos();
      switch (frame.getFrameCase()) {
        case REPLY -> {
          var reply = pendingReplies.remove(frame.getReply().getCorrelationId());
          if (reply != null) {
            complete(reply, frame.getReply().getPayload());
          }
        }
        case ERROR -> {
          var reply = pendingReplies.remove(frame.getError().getCorrelationId());
          if (reply != null) {
            reply.completeExceptionally(Frames.toException(frame.getError()));
          }
        }
        default -> {
          log.warn("event=frame-unexpected peer={} frame={}", address, frame.getFrameCase());
          ctx.close();
        }
      }
    }

    private static void complete(CompletableFuture<ByteString> reply, ByteString payload) {
      try {
        reply.complete(PayloadCompression.decompress(payload));
      } catch (AlderyardException damaged) {
        reply.completeExceptionally(damaged);
      }
    }

    private void fail(long id, String message, Outcome outcome) {
      var reply = pendingReplies.remove(id);
      if (reply != null) {
        reply.completeExceptionally(
            new AlderyardException(ErrorCode.CONNECTION_LOST, outcome, message));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      failed = true;
      discard(self);
      pendingReplies
          .keySet()
          .forEach(id -> fail(id, "connection lost: " + address, Outcome.OUTCOME_UNKNOWN));
      onDisconnect.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.warn("event=connection-failed peer={} cause=\"{}\"", address, cause.toString());
      ctx.close();
    }
  }
}
