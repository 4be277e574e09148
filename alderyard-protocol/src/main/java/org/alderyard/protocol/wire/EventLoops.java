package org.alderyard.protocol.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/** The network threads that the connections of one process share. */
public final class EventLoops implements AutoCloseable {
  private static final long QUIET_MILLIS = 0;
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final EventLoopGroup group;

  /** Starts the threads. */
  public EventLoops(int threads) {
    group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
  }

  /** Returns the threads for the channels of other protocols. */
  public EventLoopGroup group() {
    return group;
  }

  @Override
  public void close() {
    group
        .shutdownGracefully(QUIET_MILLIS, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
  }
}
