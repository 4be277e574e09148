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
 * Follows the control hosts.
 *
 * <p>Deltas come by long polls from any control host; heartbeats go to the leader, which confirms
 * the newest version and so the view lease.
 */
public final class ViewClient implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(ViewClient.class);
  private static final Duration WAIT = Duration.ofMillis(1_000);

  /** What a control host may wait for a leader when a host looks for one; it asks all of them. */
  private static final Duration LEADER_WAIT = Duration.ofMillis(200);

  private static final Duration CALL_TIMEOUT = Duration.ofMillis(2_000);
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(750);
  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1_000);
  private static final long LEAVE_TIMEOUT_MILLIS = 300;
  private static final long BEHIND_LIMIT_MILLIS = 500;

  private final ControlClient control;
  private final HostState self;
  private final ViewHolder holder;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  private final ViewLease lease = new ViewLease();
  // The control host to fetch from, by its place in the list.
  private final AtomicInteger source;
  private final Object lock = new Object();
  // Guarded by lock.
  private ViewFollower follower = ViewFollower.EMPTY;
  private boolean heartbeatOnItsWay;
  private boolean heartbeatWanted;
  // A host that lacks the start of the deltas gets the whole view, which only the leader gives.
  private volatile boolean needsLeader;
  private final DependencyLog fetches = new DependencyLog(log, "view-fetch");
  private final DependencyLog heartbeats = new DependencyLog(log, "heartbeat");
  private final List<Runnable> lapseListeners = new CopyOnWriteArrayList<>();
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
    // Spreads the hosts over the control hosts.
    this.source = new AtomicInteger(Math.floorMod(self.id().hashCode(), control.hostCount()));
  }

  /**
   * Starts to follow.
   *
   * <p>The first heartbeat goes out with the first view, or an interval later: before a leader is
   * there it finds nobody, and keeps the control hosts from electing one.
   */
  public void start() {
    workers.execute(this::fetch);
    workers.scheduleRepeatedly(HEARTBEAT_INTERVAL, this::heartbeat);
  }

  /** Returns whether the view was confirmed recently enough to act on it. */
  public boolean leaseValid() {
    return lease.valid(clock.nowMillis());
  }

  private ViewFollower follower() {
    synchronized (lock) {
      return follower;
    }
  }

  /** Adds a listener that is told, before the lease holds again, that it had run out. */
  public void onLeaseLapsed(Runnable listener) {
    lapseListeners.add(listener);
  }

  private void tellOfLapse() {
    if (!leaseValid()) {
      lapseListeners.forEach(Runnable::run);
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
            .setWaitMillis((int) (needsLeader ? LEADER_WAIT : WAIT).toMillis())
            .build();
    int place = source.get();
    CompletableFuture<FetchViewReply> fetched =
        needsLeader
            ? control.callIdempotent(ControlMethods.FETCH_VIEW, request, CALL_TIMEOUT)
            : control.callHost(place, ControlMethods.FETCH_VIEW, request, CALL_TIMEOUT);
    fetched.whenComplete(
        (reply, failure) -> {
          if (failure == null && accept(reply)) {
            fetches.worked();
            needsLeader = false;
            workers.execute(this::fetch);
            return;
          }
          if (failure != null) {
            fetches.failed(Futures.typed(failure));
            if (!needsLeader && Futures.typed(failure).code() == ErrorCode.NOT_LEADER) {
              needsLeader = true;
              workers.execute(this::fetch);
              return;
            }
          }
          needsLeader = false;
          source.compareAndSet(place, place + 1);
          workers.schedule(RETRY_DELAY, this::fetch);
        });
  }

  /** Returns whether the source is good to go on with. */
  private boolean accept(FetchViewReply reply) {
    ViewFollower.Result result;
    synchronized (lock) {
      result =
          reply.hasSnapshot()
              ? follower.accept(reply.getSnapshot(), reply.getChainHash())
              : follower.accept(reply.getDeltas());
      follower = result.follower();
    }
    if (holder.offer(result.follower().view())) {
      tellOfLapse();
      lease.runs(holder.current().version());
      log.info("event=view-changed version={}", holder.current().version());
      workers.execute(this::heartbeat);
    }
    switch (result.reason()) {
      case ADVANCED -> {
        return true;
      }
      case NOTHING_NEW -> {
        return !reply.hasSnapshot() && !behindForLong();
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
   * Guards against a source that is cut off from the leader: it answers, but has nothing new. A
   * newer version that the leader told of and that does not come means another source.
   */
  private boolean behindForLong() {
    var behind = lease.behindMillis(clock.nowMillis());
    return behind.isPresent() && behind.getAsLong() > BEHIND_LIMIT_MILLIS;
  }

  /**
   * Sends a heartbeat, or one after that which is on its way.
   *
   * <p>Guards against a leader that is slow: a heartbeat for each new view on top of those without
   * an answer would make it slower still. The next one tells the newest version in any case.
   */
  private void heartbeat() {
    synchronized (lock) {
      heartbeatWanted = heartbeatOnItsWay;
      if (closed || heartbeatOnItsWay) {
        return;
      }
      heartbeatOnItsWay = true;
    }
    // The lease counts from before the request: the answer may have been long on its way.
    long sentMillis = clock.nowMillis();
    send(false).whenComplete((reply, failure) -> heartbeatDone(sentMillis, reply, failure));
  }

  private void heartbeatDone(long sentMillis, HeartbeatReply reply, Throwable failure) {
    if (failure == null) {
      heartbeats.worked();
      tellOfLapse();
      lease.confirmed(
          StateCodec.version(reply.getCurrent()),
          sentMillis,
          reply.getLeaseMillis(),
          clock.nowMillis());
    } else {
      heartbeats.failed(Futures.typed(failure));
    }
    boolean again;
    synchronized (lock) {
      heartbeatOnItsWay = false;
      again = heartbeatWanted;
    }
    if (again) {
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
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    } catch (Exception unreachable) {
      // The leader forgets this host when its lease runs out.
      log.info("event=leave-failed reason=\"{}\"", Futures.unwrap(unreachable).toString());
    }
  }
}
