package org.alderyard.proxy.view;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.Timer;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.log.DependencyLog;
import org.alderyard.common.time.HostTime;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.view.StateCodec;
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
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(750);
  private static final long LEAVE_TIMEOUT_MILLIS = 300;
  private static final long MAX_BEHIND_MILLIS = 500;

  /** Suspensions and steps of the clock up to this are not logged. */
  private static final long MAX_UNLOGGED_SUSPENSION_MILLIS = 1_000;

  /**
   * Spreads the fetches of the hosts that overtake the same stopped control host, so that they
   * don't reach the leader at once.
   */
  private static final int OVERTAKE_SPREAD_MILLIS = 250;

  private final ViewControl control;
  private final HostState self;
  private final ViewHolder holder;
  private final Timer timer;
  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final ViewFetcher fetcher;
  private final ViewLease lease = new ViewLease();
  private final LateHostGate gate;
  private final Object lock = new Object();
  // Guarded by lock.
  private boolean heartbeatInFlight;
  private boolean heartbeatPending;
  private HostTime lastHeartbeat;
  private final DependencyLog heartbeats = new DependencyLog(log, "heartbeat");
  private final List<Runnable> leaseLapseListeners = new CopyOnWriteArrayList<>();
  private final List<Runnable> leaseConfirmedListeners = new CopyOnWriteArrayList<>();
  // Whether a heartbeat was sent because the time of day ended the lease.
  private final AtomicBoolean renewing = new AtomicBoolean();
  private volatile HeartbeatExtension extension = HeartbeatExtension.NONE;
  private volatile boolean closed;

  /**
   * Creates a client that sends nothing until {@link #start()}.
   *
   * @param control sends heartbeats
   * @param viewSources fetches views; over other connections than the heartbeats, so that a large
   *     view does not delay them
   */
  public ViewClient(
      ControlClient control,
      ControlClient viewSources,
      HostState self,
      ViewHolder holder,
      WorkerPool workers,
      MonotonicClock clock,
      InstantSource wallClock) {
    this(
        new RemoteViewControl(control, viewSources),
        // Spreads the fetches of all hosts over the control hosts.
        Math.floorMod(self.id().hashCode(), control.hostCount()),
        self,
        holder,
        workers::schedule,
        clock,
        wallClock);
  }

  ViewClient(
      ViewControl control,
      int sourceIndex,
      HostState self,
      ViewHolder holder,
      Timer timer,
      MonotonicClock clock,
      InstantSource wallClock) {
    this.control = control;
    this.self = self;
    this.holder = holder;
    this.timer = timer;
    this.clock = clock;
    this.wallClock = wallClock;
    lastHeartbeat = HostTime.now(clock, wallClock);
    fetcher =
        new ViewFetcher(control, sourceIndex, timer, clock, this::onView, this::behindTooLong);
    gate = new LateHostGate(timer, this::now, this::leaseValid, this::behind, this::renewAtOnce);
  }

  /** Adds data to the heartbeats and receives that of the replies. */
  public void extendHeartbeats(HeartbeatExtension newExtension) {
    extension = newExtension;
  }

  /**
   * Starts to fetch views and to send heartbeats.
   *
   * <p>The first heartbeat is sent after the first view arrives or after one interval. Heartbeats
   * that are sent before a leader exists fail and keep the control hosts from electing one.
   */
  public void start() {
    fetcher.start();
    gate.start();
    timer.schedule(HEARTBEAT_INTERVAL, this::repeatHeartbeat);
  }

  private void repeatHeartbeat() {
    try {
      heartbeat();
    } finally {
      timer.schedule(HEARTBEAT_INTERVAL, this::repeatHeartbeat);
    }
  }

  /** Returns whether the view lease is valid, so that this host may act on its view. */
  public boolean leaseValid() {
    HostTime now = now();
    boolean valid = lease.valid(now);
    if (!valid && lease.endedByTimeOfDayOnly(now)) {
      renewAtOnce();
    }
    return valid;
  }

  /** Returns what holds operations while it is open whether the view is current. */
  public ViewGate gate() {
    return gate;
  }

  private boolean behind() {
    return lease.behindMillis(clock.nowMillis()).isPresent();
  }

  /**
   * Sends a heartbeat now, so that a host which ran late, or whose clock was set forward, refuses
   * no more than what arrives until the reply. Sent once until the lease is valid again.
   */
  private void renewAtOnce() {
    if (!closed && renewing.compareAndSet(false, true)) {
      timer.schedule(Duration.ZERO, this::heartbeat);
    }
  }

  private HostTime now() {
    return HostTime.now(clock, wallClock);
  }

  /**
   * Adds a listener that is notified before the lease becomes valid again after an interruption, in
   * which another host may have taken over work of this host.
   */
  public void onLeaseLapsed(Runnable listener) {
    leaseLapseListeners.add(listener);
  }

  /** Adds a listener that is notified of each reply after which the lease is valid. */
  public void onLeaseConfirmed(Runnable listener) {
    leaseConfirmedListeners.add(listener);
  }

  private void notifyIfInterrupted(ViewVersion newest) {
    if (lease.interrupted(newest, now())) {
      leaseLapseListeners.forEach(Runnable::run);
    }
  }

  private void onView(FetchedView fetched) {
    View view = fetched.view();
    boolean replaced = holder.updateIfNewer(view);
    // Also repeats what a failed listener kept from being recorded.
    if (replaced || lease.lagsBehind(holder.current().version())) {
      notifyIfInterrupted(view.version());
      lease.recordRunning(holder.current().version());
      gate.viewChanged();
      log.info(
          "event=view-changed version={} snapshot={} deltas={} reply-bytes={} fetched-in-millis={}",
          holder.current().version(),
          fetched.snapshot(),
          fetched.deltas(),
          fetched.replyBytes(),
          fetched.fetchMillis());
      timer.schedule(Duration.ZERO, this::heartbeat);
    }
  }

  /** Returns whether a version that the leader has reported is overdue. */
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
    HostTime sent = now();
    logSuspension(sent);
    send(false).whenComplete((reply, failure) -> onHeartbeatReply(sent, reply, failure));
  }

  private void logSuspension(HostTime now) {
    long suspendedMillis;
    synchronized (lock) {
      suspendedMillis = now.suspendedMillisSince(lastHeartbeat);
      lastHeartbeat = now;
    }
    if (suspendedMillis > MAX_UNLOGGED_SUSPENSION_MILLIS) {
      log.warn("event=host-suspended millis={}", suspendedMillis);
    }
  }

  private void onHeartbeatReply(HostTime sent, HeartbeatReply reply, Throwable failure) {
    try {
      processReply(sent, reply, failure);
    } catch (RuntimeException | Error unprocessed) {
      log.error("event=heartbeat-reply-failed", unprocessed);
    } finally {
      endHeartbeat();
    }
    if (failure == null) {
      extension.onReply(reply);
    }
  }

  private void processReply(HostTime sent, HeartbeatReply reply, Throwable failure) {
    if (failure != null) {
      heartbeats.recordFailure(Futures.toAlderyardException(failure));
      return;
    }
    heartbeats.recordSuccess();
    ViewVersion current = StateCodec.version(reply.getCurrent());
    notifyIfInterrupted(current);
    lease.recordConfirmation(current, sent, reply.getLeaseMillis(), now());
    gate.replyReceived();
    if (lease.valid(now())) {
      renewing.set(false);
      leaseConfirmedListeners.forEach(Runnable::run);
    }
    overtakeIfStillBehind();
  }

  private void endHeartbeat() {
    boolean sendAnother;
    synchronized (lock) {
      heartbeatInFlight = false;
      sendAnother = heartbeatPending;
    }
    if (sendAnother) {
      timer.schedule(Duration.ZERO, this::heartbeat);
    }
  }

  /** Fetches from the leader unless the fetch in flight brings the overdue version in time. */
  private void overtakeIfStillBehind() {
    if (!behind()) {
      return;
    }
    long spreadMillis = Math.floorMod(self.id().hashCode(), OVERTAKE_SPREAD_MILLIS);
    timer.schedule(
        Duration.ofMillis(MAX_BEHIND_MILLIS + 1 + spreadMillis),
        () -> {
          if (behindTooLong()) {
            fetcher.overtake();
          }
        });
  }

  private CompletableFuture<HeartbeatReply> send(boolean leaving) {
    HeartbeatRequest.Builder request =
        HeartbeatRequest.newBuilder()
            .setHost(StateCodec.hostMessage(self))
            .setRunning(StateCodec.versionMessage(holder.current().version()))
            .setLeaving(leaving);
    try {
      if (!leaving) {
        extension.addTo(request);
      }
      return control.heartbeat(request.build());
    } catch (RuntimeException | Error failure) {
      // Completes the heartbeat, which would count as in flight otherwise.
      return CompletableFuture.failedFuture(failure);
    }
  }

  /** Returns the number of received views that could not be read. */
  public long unreadableViews() {
    return fetcher.unreadableViews();
  }

  @Override
  public void close() {
    closed = true;
    fetcher.close();
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
