package org.alderyard.proxy.view;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows the control hosts: asks for a newer view again and again, and keeps the view lease. */
public final class ViewClient implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(ViewClient.class);
  private static final Duration WAIT = Duration.ofMillis(1_000);
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(2_000);
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final ControlClient control;
  private final HostState self;
  private final ViewHolder holder;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  private final AtomicLong leaseEndMillis = new AtomicLong(Long.MIN_VALUE);
  private volatile boolean closed;

  /** Creates a client that does nothing until {@link #start()}. */
  public ViewClient(
      ControlClient control,
      HostState self,
      ViewHolder holder,
      WorkerPool workers,
      MonotonicClock clock) {
    this.control = control;
    this.self = self;
    this.holder = holder;
    this.workers = workers;
    this.clock = clock;
  }

  /** Starts to follow. */
  public void start() {
    workers.execute(this::fetch);
  }

  /** Returns whether the view was confirmed recently enough to act on it. */
  public boolean leaseValid() {
    return clock.nowMillis() < leaseEndMillis.get();
  }

  private void fetch() {
    if (closed) {
      return;
    }
    // The lease counts from before the request: the answer may have been long on its way.
    long sentMillis = clock.nowMillis();
    FetchViewRequest request =
        FetchViewRequest.newBuilder()
            .setHost(StateCodec.hostMessage(self))
            .setRunning(StateCodec.versionMessage(holder.current().version()))
            .setWaitMillis((int) WAIT.toMillis())
            .build();
    control
        .callIdempotent(ControlMethods.FETCH_VIEW, request, CALL_TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                accept(reply, sentMillis);
                workers.execute(this::fetch);
                return;
              }
              log.warn("event=view-fetch-failed reason=\"{}\"", Futures.unwrap(failure).toString());
              workers.schedule(RETRY_DELAY, this::fetch);
            });
  }

  private void accept(FetchViewReply reply, long sentMillis) {
    leaseEndMillis.accumulateAndGet(sentMillis + reply.getLeaseMillis(), Math::max);
    if (holder.offer(ViewCodec.view(reply.getSnapshot()))) {
      log.info("event=view-changed version={}", holder.current().version());
    }
  }

  @Override
  public void close() {
    closed = true;
  }
}
