package org.alderyard.proxy.view;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.Timer;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.log.DependencyLog;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewFollower;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches views by long polling from any control host.
 *
 * <p>Locking: guarded by the object itself; it is a leaf lock, and views are handed on after it is
 * released.
 */
final class ViewFetcher {
  private static final Logger log = LoggerFactory.getLogger(ViewFetcher.class);
  private static final Duration POLL_WAIT = Duration.ofMillis(1_000);

  /**
   * Poll wait of a fetch from the leader. The fetch asks one control host after the other, and each
   * may wait this long for a leader.
   */
  private static final Duration LEADER_POLL_WAIT = Duration.ofMillis(200);

  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  /** Bounds the delay after replies that can't be read to 1.6 s. */
  private static final int MAX_DOUBLINGS = 4;

  /**
   * Age at which a fetch may be overtaken. A fetch that is younger is left alone, as updates arrive
   * late, but do arrive, when the control hosts are overloaded.
   */
  private static final long MIN_OVERTAKEN_AGE_MILLIS = 500;

  private final ViewControl control;
  private final Timer timer;
  private final MonotonicClock clock;
  private final Consumer<FetchedView> onView;
  private final BooleanSupplier behindTooLong;
  private final DependencyLog fetches = new DependencyLog(log, "view-fetch");
  // Guarded by this.
  private ViewFollower follower = ViewFollower.EMPTY;
  // Index of the control host to fetch from.
  private int sourceIndex;
  // Set when the deltas that follow this host's version are not available: only the leader sends
  // a whole view.
  private boolean needsLeader;
  private long sentMillis;
  private int unreadableInRow;
  // Number of fetches that were overtaken; only the loop of the last round goes on.
  private long round;
  private volatile boolean closed;
  private final LongAdder unreadableViews = new LongAdder();

  /**
   * Creates a fetcher that sends nothing until {@link #start()}.
   *
   * @param sourceIndex the control host to fetch from first
   * @param onView is called with each view that a reply contains
   * @param behindTooLong whether a version that the leader has reported is overdue
   */
  ViewFetcher(
      ViewControl control,
      int sourceIndex,
      Timer timer,
      MonotonicClock clock,
      Consumer<FetchedView> onView,
      BooleanSupplier behindTooLong) {
    this.control = control;
    this.sourceIndex = sourceIndex;
    this.timer = timer;
    this.clock = clock;
    this.onView = onView;
    this.behindTooLong = behindTooLong;
  }

  void start() {
    timer.schedule(Duration.ZERO, () -> fetch(0));
  }

  /**
   * Fetches from the leader without waiting for the fetch in flight, whose source may have stopped.
   * Does nothing if the fetch in flight is recent or goes to the leader, so at most one additional
   * fetch is sent. A late reply to the overtaken fetch is still applied.
   */
  void overtake() {
    long ageMillis;
    long nextRound;
    synchronized (this) {
      ageMillis = clock.nowMillis() - sentMillis;
      if (needsLeader || ageMillis < MIN_OVERTAKEN_AGE_MILLIS) {
        return;
      }
      round++;
      nextRound = round;
      sourceIndex++;
      needsLeader = true;
    }
    log.info("event=view-fetch-overtaken waited-millis={}", ageMillis);
    fetch(nextRound);
  }

  void close() {
    closed = true;
  }

  /**
   * A request in flight.
   *
   * @param round the round of the fetch loop
   * @param index the index of the control host, if the request does not go to the leader
   * @param toLeader whether the request goes to the leader
   * @param sentMillis when the request was sent, by the monotonic clock
   */
  private record Attempt(long round, int index, boolean toLeader, long sentMillis) {}

  private void fetch(long ofRound) {
    Attempt attempt;
    FetchViewRequest request;
    synchronized (this) {
      if (closed || ofRound != round) {
        return;
      }
      sentMillis = clock.nowMillis();
      attempt = new Attempt(round, sourceIndex, needsLeader, sentMillis);
      request = request(attempt.toLeader());
    }
    send(attempt, request)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                onReply(attempt, reply);
              } else {
                onFailure(attempt, failure);
              }
            });
  }

  /** Sends a request; a failure to send it completes the future, so that the loop goes on. */
  private FetchViewRequest request(boolean toLeader) {
    return FetchViewRequest.newBuilder()
        .setRunning(StateCodec.versionMessage(follower.view().version()))
        .setChainHash(follower.chainHash())
        .setWaitMillis((int) (toLeader ? LEADER_POLL_WAIT : POLL_WAIT).toMillis())
        .build();
  }

  private CompletableFuture<FetchViewReply> send(Attempt attempt, FetchViewRequest request) {
    try {
      return attempt.toLeader()
          ? control.fetchFromLeader(request)
          : control.fetch(attempt.index(), request);
    } catch (RuntimeException | Error failure) {
      return CompletableFuture.failedFuture(failure);
    }
  }

  private void onReply(Attempt attempt, FetchViewReply reply) {
    boolean accepted;
    try {
      accepted = accept(attempt, reply);
    } catch (RuntimeException | Error unreadable) {
      onUnreadable(attempt, reply, unreadable);
      return;
    }
    endUnreadable();
    if (accepted) {
      fetches.recordSuccess();
      fetchNext(attempt, attempt.index(), false, Duration.ZERO);
    } else {
      fetchNext(attempt, attempt.index() + 1, false, RETRY_DELAY);
    }
  }

  /**
   * Asks another control host. The view stays as it is, and its lease ends unless a host sends a
   * view that can be read. The delay grows, as such a reply may hold a whole view.
   */
  private void onUnreadable(Attempt attempt, FetchViewReply reply, Throwable reason) {
    int failures;
    synchronized (this) {
      unreadableInRow++;
      failures = unreadableInRow;
    }
    unreadableViews.increment();
    log.error(
        "event=view-unreadable source={} version={} bytes={} failures={}",
        attempt.toLeader() ? "leader" : attempt.index(),
        runningVersion(),
        reply.getSerializedSize(),
        failures,
        reason);
    Duration delay = RETRY_DELAY.multipliedBy(1L << Math.min(failures - 1, MAX_DOUBLINGS));
    fetchNext(attempt, attempt.index() + 1, false, delay);
  }

  private void endUnreadable() {
    int failures;
    synchronized (this) {
      failures = unreadableInRow;
      unreadableInRow = 0;
    }
    if (failures > 0) {
      log.info("event=view-readable version={} failures={}", runningVersion(), failures);
    }
  }

  private void onFailure(Attempt attempt, Throwable failure) {
    if (isOvertaken(attempt)) {
      return;
    }
    fetches.recordFailure(Futures.toAlderyardException(failure));
    boolean wholeViewNeeded =
        !attempt.toLeader() && Futures.toAlderyardException(failure).code() == ErrorCode.NOT_LEADER;
    if (wholeViewNeeded) {
      fetchNext(attempt, attempt.index(), true, Duration.ZERO);
    } else {
      fetchNext(attempt, attempt.index() + 1, false, RETRY_DELAY);
    }
  }

  private synchronized boolean isOvertaken(Attempt attempt) {
    return attempt.round() != round;
  }

  private void fetchNext(Attempt previous, int index, boolean fromLeader, Duration delay) {
    synchronized (this) {
      if (isOvertaken(previous)) {
        return;
      }
      sourceIndex = index;
      needsLeader = fromLeader;
    }
    timer.schedule(delay, () -> fetch(previous.round()));
  }

  private synchronized ViewVersion runningVersion() {
    return follower.view().version();
  }

  /** Returns the number of replies whose view could not be read. */
  long unreadableViews() {
    return unreadableViews.sum();
  }

  /** Applies a reply. Returns whether to keep fetching from the same control host. */
  private boolean accept(Attempt attempt, FetchViewReply reply) {
    ViewFollower.Result result;
    synchronized (this) {
      result =
          reply.hasSnapshot()
              ? follower.accept(reply.getSnapshot(), reply.getChainHash())
              : follower.accept(reply.getDeltas());
      follower = result.follower();
    }
    onView.accept(
        new FetchedView(
            result.follower().view(),
            reply.hasSnapshot(),
            reply.getDeltas().getDeltasCount(),
            reply.getSerializedSize(),
            clock.nowMillis() - attempt.sentMillis()));
    switch (result.reason()) {
      case ADVANCED -> {
        return true;
      }
      case NOTHING_NEW -> {
        // A control host that is partitioned from the leader never sends a newer version.
        return !reply.hasSnapshot() && !behindTooLong.getAsBoolean();
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
}
