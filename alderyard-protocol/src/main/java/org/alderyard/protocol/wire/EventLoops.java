package org.alderyard.protocol.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/** The network threads that the connections of one process share. */
public final class EventLoops implements AutoCloseable {
  private static final long QUIET_MILLIS = 0;
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  /** The library's names of the properties by which a process states what is asked of it below. */
  private static final String MACHINE_ID = "io.netty.machineId";

  private static final String PROCESS_ID = "io.netty.processId";

  private static final String RECORDED_EVENTS = "io.netty.jfr.enabled";

  /** Any hardware address: it only goes into names of channels that this process alone uses. */
  private static final String ANY_MACHINE = "02:00:00:00:00:00:00:01";

  static {
    // Else the library looks at all network interfaces and management beans of the process, and
    // prepares to record its buffers, which takes part of each start.
    setIfAbsent(MACHINE_ID, ANY_MACHINE);
    setIfAbsent(PROCESS_ID, Long.toString(ProcessHandle.current().pid()));
    setIfAbsent(RECORDED_EVENTS, "false");
  }

  private final EventLoopGroup group;

  /** Starts the threads. */
  public EventLoops(int threads) {
    group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
  }

  private static void setIfAbsent(String property, String value) {
    if (System.getProperty(property) == null) {
      System.setProperty(property, value);
    }
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
