package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
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
 * The connection to one other process: opened when first used, and again after it broke.
 *
 * <p>A request that was not written fails as {@code NOT_RUN}; one that was written and has no reply
 * fails as {@code OUTCOME_UNKNOWN}, since the peer may have acted on it.
 */
public final class PeerLink implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(PeerLink.class);

  /** A shorter wait may be a pause of the peer, and is no reason to fail its other requests. */
  private static final Duration MIN_SILENCE = Duration.ofMillis(700);

  private final EventLoops loops;
  private final InetSocketAddress address;
  private final ProtocolOptions options;
  private final AtomicLong nextCorrelationId = new AtomicLong(1);
  private final Object lock = new Object();
  private final MonotonicClock clock;

  // Guarded by lock; null before the first use and after a failure.
  private CompletableFuture<Connection> current;
  private boolean closed;

  /** Creates a link that is not connected yet. */
  public PeerLink(
      EventLoops loops, InetSocketAddress address, ProtocolOptions options, MonotonicClock clock) {
    this.loops = loops;
    this.address = address;
    this.options = options;
    this.clock = clock;
  }

  /** Returns where the peer listens. */
  public InetSocketAddress address() {
    return address;
  }

  /** Sends a request; the future has the reply, or fails with a typed error. */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
      Method<Q, R> method, Q request, Duration timeout) {
    return call(method, request, timeout, MIN_SILENCE);
  }

  /**
   * Sends a request, of which a peer under load may leave some without a reply in time.
   *
   * @param silence for how long nothing must have come for the connection to be given up
   * @return the reply, or a typed error
   */
  public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
      Method<Q, R> method, Q request, Duration timeout, Duration silence) {
    return connection()
        .thenCompose(
            connection ->
                connection.send(
                    method.number(), method.name(), request.toByteString(), timeout, silence))
        .thenApply(payload -> parse(method, payload));
  }

  /**
   * Returns a future that is done when there is a connection, and fails with {@code NOT_RUN} when
   * there is none within the time; connecting goes on for later requests.
   */
  public CompletableFuture<Void> connected(Duration limit) {
    CompletableFuture<Void> open = connection().thenApply(connection -> null);
    return open.isDone()
        ? open
        : open.orTimeout(limit.toNanos(), TimeUnit.NANOSECONDS)
            .exceptionallyCompose(
                failure ->
                    CompletableFuture.failedFuture(
                        AlderyardException.notRun(
                            ErrorCode.CONNECTION_LOST,
                            "no connection to " + address + ": " + Futures.typed(failure).code())));
  }

  /** Returns whether there is a connection now. */
  public boolean isConnected() {
    synchronized (lock) {
      return current != null && current.isDone() && !current.isCompletedExceptionally();
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
      if (current == null || current.isCompletedExceptionally()) {
        current = connect();
      }
      return current;
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
                    AlderyardException.notRun(
                        ErrorCode.CONNECTION_LOST,
                        "no connection to " + address + ": " + connected.cause().getMessage()));
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

  private void forget(CompletableFuture<Connection> broken) {
    synchronized (lock) {
      if (current == broken) {
        current = null;
      }
    }
  }

  @Override
  public void close() {
    CompletableFuture<Connection> last;
    synchronized (lock) {
      closed = true;
      last = current;
      current = null;
    }
    if (last != null) {
      last.thenAccept(connection -> connection.channel.close());
    }
  }

  /** One authenticated connection and the requests that wait on it. */
  private final class Connection extends SimpleChannelInboundHandler<Envelope> {
    private final Channel channel;
    private final CompletableFuture<Connection> self;
    private final Map<Long, CompletableFuture<ByteString>> waiting = new ConcurrentHashMap<>();
    private volatile boolean broken;
    private volatile long framesRead;
    private volatile long lastReadNanos = clock.nowNanos();

    Connection(Channel channel, CompletableFuture<Connection> self) {
      super(Envelope.class);
      this.channel = channel;
      this.self = self;
    }

    CompletableFuture<ByteString> send(
        int method, String name, ByteString payload, Duration timeout, Duration silence) {
      if (waiting.size() >= options.maxOutstanding()) {
        return CompletableFuture.failedFuture(
            AlderyardException.notRun(
                ErrorCode.OVERLOADED, "too many requests without a reply at " + address));
      }
      long id = nextCorrelationId.getAndIncrement();
      final long readBefore = framesRead;
      CompletableFuture<ByteString> answer = new CompletableFuture<>();
      waiting.put(id, answer);
      if (broken) {
        // The connection broke between the look-up and the registration above: nobody else would
        // complete this future, and the request was never written.
        waiting.remove(id);
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
                    CompletableFuture<ByteString> late = waiting.remove(id);
                    if (late != null) {
                      // First: who gets the failure may ask again at once.
                      closeIfSilent(readBefore, timeout, silence);
                      late.completeExceptionally(
                          new AlderyardException(
                              ErrorCode.DEADLINE_EXCEEDED,
                              Outcome.OUTCOME_UNKNOWN,
                              name + " at " + address + " gave no reply in " + timeout));
                    }
                  },
                  timeout.toNanos(),
                  TimeUnit.NANOSECONDS);
      answer.whenComplete((reply, failure) -> timer.cancel(false));
      return answer;
    }

    /**
     * Closes a connection on which nothing came while a request waited for its whole time.
     *
     * <p>Guards against a connection that went silent for good, or waits for seconds to send again
     * what a partition swallowed: the partition is over, new connections work, and yet this host
     * would stay without a view. The next request connects anew.
     */
    private void closeIfSilent(long readBefore, Duration waited, Duration silence) {
      long quietNanos = clock.nowNanos() - lastReadNanos;
      boolean silent =
          framesRead == readBefore
              && waited.compareTo(MIN_SILENCE) >= 0
              && quietNanos >= silence.toNanos();
      if (silent) {
        log.info("event=connection-silent peer={} waited={}", address, waited);
        forget(self);
        channel.close();
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope frame) {
      framesRead++;
      lastReadNanos = clock.nowNanos();
      switch (frame.getFrameCase()) {
        case REPLY -> {
          var answer = waiting.remove(frame.getReply().getCorrelationId());
          if (answer != null) {
            answer.complete(frame.getReply().getPayload());
          }
        }
        case ERROR -> {
          var answer = waiting.remove(frame.getError().getCorrelationId());
          if (answer != null) {
            answer.completeExceptionally(Frames.toException(frame.getError()));
          }
        }
        default -> {
          log.warn("event=frame-unexpected peer={} frame={}", address, frame.getFrameCase());
          ctx.close();
        }
      }
    }

    private void fail(long id, String message, Outcome outcome) {
      var answer = waiting.remove(id);
      if (answer != null) {
        answer.completeExceptionally(
            new AlderyardException(ErrorCode.CONNECTION_LOST, outcome, message));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      broken = true;
      forget(self);
      waiting
          .keySet()
          .forEach(id -> fail(id, "connection lost: " + address, Outcome.OUTCOME_UNKNOWN));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.warn("event=connection-failed peer={} cause=\"{}\"", address, cause.toString());
      ctx.close();
    }
  }
}
