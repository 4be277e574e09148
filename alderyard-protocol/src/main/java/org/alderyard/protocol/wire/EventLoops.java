package org.alderyard.protocol.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/** The network threads that all connections of a process share. */
public final class EventLoops implements AutoCloseable {
  private static final long QUIET_PERIOD_MILLIS = 0;
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  /** Netty's system properties for values that it determines itself if they are not set. */
  private static final String MACHINE_ID = "io.netty.machineId";

  private static final String PROCESS_ID = "io.netty.processId";

  private static final String JFR_ENABLED = "io.netty.jfr.enabled";

  /**
   * A placeholder hardware address: it is only part of channel IDs, which are local to the process.
   */
  private static final String PLACEHOLDER_MACHINE_ID = "02:00:00:00:00:00:00:01";

  static {
    // Without these properties, Netty inspects all network interfaces and management beans of the
    // process and prepares to record buffer events, which slows down each start.
    setIfAbsent(MACHINE_ID, PLACEHOLDER_MACHINE_ID);
    setIfAbsent(PROCESS_ID, Long.toString(ProcessHandle.current().pid()));
    setIfAbsent(JFR_ENABLED, "false");
  }

  private final EventLoopGroup group;

  /** Starts the given number of threads. */
  public EventLoops(int threads) {
    group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
  }

  private static void setIfAbsent(String property, String value) {
    if (System.getProperty(property) == null) {
      System.setProperty(property, value);
    }
  }

  /** Returns the event loop group, for the channels of other protocols. */
  public EventLoopGroup group() {
    return group;
  }

  @Override
  public void close() {
    group
        .shutdownGracefully(QUIET_PERIOD_MILLIS, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
  }
}
