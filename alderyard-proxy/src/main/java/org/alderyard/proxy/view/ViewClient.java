package org.alderyard.proxy.view;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.log.DependencyLog;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewFollower;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this host's view up to date with the control hosts and renews the view lease.
 *
 * <p>Deltas are fetched by long polling from any control host. Heartbeats go to the leader, whose
 * reply confirms the newest version and thereby extends the view lease.
 */
public final class ViewClient implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(ViewClient.class);
  private static final Duration POLL_WAIT = Duration.ofMillis(1_000);

  /**
   * Poll wait of a fetch from the leader. The fetch asks one control host after the other, and each
   * may wait this long for a leader.
   */
  private static final Duration LEADER_POLL_WAIT = Duration.ofMillis(200);

  private static final Duration CALL_TIMEOUT = Duration.ofMillis(2_000);
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(750);
  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1_000);
  private static final long LEAVE_TIMEOUT_MILLIS = 300;
  private static final long MAX_BEHIND_MILLIS = 500;

  private final ControlClient control;
  private final HostState self;
  private final ViewHolder holder;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  private final ViewLease lease = new ViewLease();
  // Index of the control host to fetch from.
  private final AtomicInteger sourceIndex;
  private final Object lock = new Object();
  // Guarded by lock.
  private ViewFollower follower = ViewFollower.EMPTY;
  private boolean heartbeatInFlight;
  private boolean heartbeatPending;
  // Set when the deltas that follow this host's version are not available: only the leader sends
  // a whole view.
  private volatile boolean needsLeader;
  private final DependencyLog fetches = new DependencyLog(log, "view-fetch");
  private final DependencyLog heartbeats = new DependencyLog(log, "heartbeat");
  private final List<Runnable> leaseLapseListeners = new CopyOnWriteArrayList<>();
  private volatile boolean closed;

  /** Creates a client that sends nothing until {@link #start()}. */
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
    // Spreads the fetches of all hosts over the control hosts.
    this.sourceIndex = new AtomicInteger(Math.floorMod(self.id().hashCode(), control.hostCount()));
  }

  /**
   * Starts to fetch views and to send heartbeats.
   *
   * <p>The first heartbeat is sent after the first view arrives or after one interval. Heartbeats
   * that are sent before a leader exists fail and keep the control hosts from electing one.
   */
  public void start() {
    workers.execute(this::fetch);
    workers.scheduleRepeatedly(HEARTBEAT_INTERVAL, this::heartbeat);
  }

  /** Returns whether the view lease is valid, so that this host may act on its view. */
  public boolean leaseValid() {
    return lease.valid(clock.nowMillis());
  }

  private ViewFollower follower() {
    synchronized (lock) {
      return follower;
    }
  }

  /** Adds a listener that is notified of an expired lease before the lease becomes valid again. */
  public void onLeaseLapsed(Runnable listener) {
    leaseLapseListeners.add(listener);
  }

  private void notifyIfLeaseLapsed() {
    if (!leaseValid()) {
      leaseLapseListeners.forEach(Runnable::run);
    }
  }

  private void fetch() {
    if (closed) {
      return;
    }
    ViewFollower before = follower();
    FetchViewRequest request =
        FetchViewRequest.newBuilder()
            .setRunning(StateCodec.versionMessage(before.view().version()))
            .setChainHash(before.chainHash())
            .setWaitMillis((int) (needsLeader ? LEADER_POLL_WAIT : POLL_WAIT).toMillis())
            .build();
    int index = sourceIndex.get();
    CompletableFuture<FetchViewReply> fetched =
        needsLeader
            ? control.callIdempotent(ControlMethods.FETCH_VIEW, request, CALL_TIMEOUT)
            : control.callHost(index, ControlMethods.FETCH_VIEW, request, CALL_TIMEOUT);
    fetched.whenComplete(
        (reply, failure) -> {
          if (failure == null && accept(reply)) {
            fetches.recordSuccess();
            needsLeader = false;
            workers.execute(this::fetch);
            return;
          }
          if (failure != null) {
            fetches.recordFailure(Futures.toAlderyardException(failure));
            if (!needsLeader
                && Futures.toAlderyardException(failure).code() == ErrorCode.NOT_LEADER) {
              needsLeader = true;
              workers.execute(this::fetch);
              return;
            }
          }
          needsLeader = false;
          sourceIndex.compareAndSet(index, index + 1);
          workers.schedule(RETRY_DELAY, this::fetch);
        });
  }

  /** Applies a reply. Returns whether to keep fetching from the same control host. */
  private boolean accept(FetchViewReply reply) {
    ViewFollower.Result result;
    synchronized (lock) {
      result =
          reply.hasSnapshot()
              ? follower.accept(reply.getSnapshot(), reply.getChainHash())
              : follower.accept(reply.getDeltas());
      follower = result.follower();
    }
    if (holder.updateIfNewer(result.follower().view())) {
      notifyIfLeaseLapsed();
      lease.recordRunning(holder.current().version());
      log.info("event=view-changed version={}", holder.current().version());
      workers.execute(this::heartbeat);
    }
    switch (result.reason()) {
      case ADVANCED -> {
        return true;
      }
      case NOTHING_NEW -> {
        return !reply.hasSnapshot() && !behindTooLong();
      }
      default -> {
        log.warn(
            "event=view-delta-refused version={} reason={}",
            result.follower().view().version(),
            result.reason());
        return false;
      }
    }
  }

  /**
   * Returns whether a version that the leader has reported is overdue.
   *
   * <p>A control host that is partitioned from the leader answers without ever sending a newer
   * version. This check makes the client switch to another control host.
   */
  private boolean behindTooLong() {
    var behindMillis = lease.behindMillis(clock.nowMillis());
    return behindMillis.isPresent() && behindMillis.getAsLong() > MAX_BEHIND_MILLIS;
  }

  /**
   * Sends a heartbeat, or schedules one to follow the heartbeat in flight.
   *
   * <p>At most one heartbeat is in flight, because additional heartbeats for each new view would
   * slow down an overloaded leader further. The next heartbeat reports the newest version anyway.
   */
  private void heartbeat() {
    synchronized (lock) {
      heartbeatPending = heartbeatInFlight;
      if (closed || heartbeatInFlight) {
        return;
      }
      heartbeatInFlight = true;
    }
    // The lease starts before the request is sent, because the reply may be delayed.
    long sentMillis = clock.nowMillis();
    send(false).whenComplete((reply, failure) -> onHeartbeatReply(sentMillis, reply, failure));
  }

  private void onHeartbeatReply(long sentMillis, HeartbeatReply reply, Throwable failure) {
    if (failure == null) {
      heartbeats.recordSuccess();
      notifyIfLeaseLapsed();
      lease.recordConfirmation(
          StateCodec.version(reply.getCurrent()),
          sentMillis,
          reply.getLeaseMillis(),
          clock.nowMillis());
    } else {
      heartbeats.recordFailure(Futures.toAlderyardException(failure));
    }
    boolean sendAnother;
    synchronized (lock) {
      heartbeatInFlight = false;
      sendAnother = heartbeatPending;
    }
    if (sendAnother) {
      workers.execute(this::heartbeat);
    }
  }

  private CompletableFuture<HeartbeatReply> send(boolean leaving) {
    HeartbeatRequest request =
        HeartbeatRequest.newBuilder()
            .setHost(StateCodec.hostMessage(self))
            .setRunning(StateCodec.versionMessage(holder.current().version()))
            .setLeaving(leaving)
            .build();
    return control.callIdempotent(ControlMethods.HEARTBEAT, request, HEARTBEAT_TIMEOUT);
  }

  @Override
  public void close() {
    closed = true;
    try {
      send(true).get(LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (Exception failure) {
      // The leader removes this host when the host's lease expires.
      log.info("event=leave-failed reason=\"{}\"", Futures.unwrap(failure).toString());
    }
  }
}
