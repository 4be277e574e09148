package org.alderyard.proxy.view;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.Timer;
import org.alderyard.common.time.HostTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds operations on a host whose view lease has expired and that will soon know whether its view
 * is current.
 *
 * <p>That is a host that ran late itself, whose next heartbeat brings the answer, and a host that
 * the leader told of a version which it lacks. A host that runs on time and gets no reply from the
 * control hosts is cut off; it serves callers by its view, since nobody can tell it more.
 *
 * <p>Locking: guarded by the object itself; the lease is read and operations continue after the
 * lock is released.
 */
final class LateHostGate implements ViewGate {
  private static final Logger log = LoggerFactory.getLogger(LateHostGate.class);

  /** Longest wait of an operation: its caller still has time for another host. */
  static final long MAX_WAIT_MILLIS = 300;

  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

  /** Time between two ticks from which on this host runs late. */
  private static final long LATE_TICK_MILLIS = 600;

  /**
   * Time that a host which ran late has to reach the leader, before it counts as cut off. A
   * heartbeat asks one control host after the other, each for up to a second.
   */
  static final long MAX_UNSETTLED_MILLIS = 3_000;

  /**
   * Time after the last reply in which a host that lacks a version may have a path to the control
   * hosts: replies wait behind the view on a slow link. Longer than the lease, which that reply may
   * have granted.
   */
  static final long MAX_CONTACT_AGE_MILLIS = 6_000;

  /** Time after the first view, which a quorum has confirmed, in which no lease is needed. */
  private static final long START_MILLIS = 2_000;

  private final Timer timer;
  private final Supplier<HostTime> now;
  private final BooleanSupplier leaseValid;
  private final BooleanSupplier behind;
  private final Runnable renewal;
  private final Set<CompletableFuture<Void>> waiting = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean holding = new AtomicBoolean();
  // Guarded by this.
  private Optional<HostTime> lastTick = Optional.empty();
  private Optional<HostTime> lastLate = Optional.empty();
  private Optional<HostTime> lastContact = Optional.empty();
  private Optional<HostTime> firstView = Optional.empty();

  /**
   * Creates a gate that holds operations after {@link #start()}.
   *
   * @param leaseValid whether the view lease is valid
   * @param behind whether the leader has named a version that this host does not run
   * @param renewal sends a heartbeat at once; called for each operation that is held
   */
  LateHostGate(
      Timer timer,
      Supplier<HostTime> now,
      BooleanSupplier leaseValid,
      BooleanSupplier behind,
      Runnable renewal) {
    this.timer = timer;
    this.now = now;
    this.leaseValid = leaseValid;
    this.behind = behind;
    this.renewal = renewal;
  }

  /** Starts to observe whether this host runs on time. */
  void start() {
    tick();
  }

  private void tick() {
    HostTime time = now.get();
    synchronized (this) {
      observeLateness(time);
      lastTick = Optional.of(time);
    }
    timer.schedule(TICK_INTERVAL, this::tick);
  }

  private void observeLateness(HostTime time) {
    if (lastTick.isPresent() && time.elapsedMillisSince(lastTick.get()) > LATE_TICK_MILLIS) {
      lastLate = Optional.of(time);
    }
  }

  /** Records a view; operations that wait for it continue. */
  void viewChanged() {
    HostTime time = now.get();
    synchronized (this) {
      firstView = firstView.or(() -> Optional.of(time));
    }
    notifyWaiting();
  }

  /** Records the reply to a heartbeat after the lease was updated. */
  void replyReceived() {
    HostTime time = now.get();
    synchronized (this) {
      lastContact = Optional.of(time);
    }
    notifyWaiting();
  }

  private void notifyWaiting() {
    if (!waiting.isEmpty()) {
      timer.schedule(
          Duration.ZERO, () -> List.copyOf(waiting).forEach(change -> change.complete(null)));
    }
  }

  @Override
  public CompletableFuture<Boolean> pass() {
    if (isSettled()) {
      return CompletableFuture.completedFuture(true);
    }
    try {
      renewal.run();
      return passBefore(now.get().monotonicMillis() + MAX_WAIT_MILLIS)
          .exceptionally(LateHostGate::refuse);
    } catch (RuntimeException failure) {
      return CompletableFuture.completedFuture(refuse(failure));
    }
  }

  /** Refuses an operation that can't wait, as the timer of a host that stops takes no tasks. */
  private static boolean refuse(Throwable failure) {
    log.info("event=operation-not-held reason=\"{}\" action=REFUSE", failure.toString());
    return false;
  }

  private CompletableFuture<Boolean> passBefore(long endMillis) {
    CompletableFuture<Void> change = new CompletableFuture<>();
    waiting.add(change);
    change.whenComplete((done, failure) -> waiting.remove(change));
    // A change before the registration does not complete the future.
    if (isSettled()) {
      change.complete(null);
      return CompletableFuture.completedFuture(true);
    }
    long leftMillis = endMillis - now.get().monotonicMillis();
    if (leftMillis <= 0) {
      change.complete(null);
      return CompletableFuture.completedFuture(false);
    }
    timer.schedule(Duration.ofMillis(leftMillis), () -> change.complete(null));
    return change.thenCompose(done -> passBefore(endMillis));
  }

  private boolean isSettled() {
    if (leaseValid.getAsBoolean()) {
      holding.set(false);
      return true;
    }
    boolean lacksVersion = behind.getAsBoolean();
    HostTime time = now.get();
    boolean late;
    synchronized (this) {
      observeLateness(time);
      late = !isStarting(time) && isWithin(lastLate, MAX_UNSETTLED_MILLIS, time);
      lacksVersion &= isWithin(lastContact, MAX_CONTACT_AGE_MILLIS, time);
    }
    if ((late || lacksVersion) && holding.compareAndSet(false, true)) {
      log.info("event=operations-held late={} behind={}", late, lacksVersion);
    }
    return !late && !lacksVersion;
  }

  private boolean isStarting(HostTime time) {
    return lastContact.isEmpty() && isWithin(firstView, START_MILLIS, time);
  }

  private static boolean isWithin(Optional<HostTime> event, long millis, HostTime time) {
    return event.isPresent() && time.elapsedMillisSince(event.get()) < millis;
  }
}
