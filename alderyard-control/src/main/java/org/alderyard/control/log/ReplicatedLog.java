package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.id.Addresses;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.MembershipChange;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.protocol.generated.raft.Replacement;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Control log that is replicated by Raft over several hosts, each with its own data folder.
 *
 * <pre>{@code
 * ReplicatedLog log =
 *     ReplicatedLog.builder()
 *         .clusterId("c1")
 *         .host(host, innerAddress)
 *         .members(innerAddressesOfAllControlHosts)
 *         .dataFolder(folder)
 *         .stateMachine(state)
 *         .network(links, dispatcher)
 *         .callbacks(workers)
 *         .random(new SecureRandom())
 *         .start();
 * }</pre>
 *
 * <p>At the first start, all listed hosts must be up at the same time; afterwards a majority is
 * sufficient. If a host restarts with an empty data folder, the leader adds it as a new replica.
 */
public final class ReplicatedLog implements ControlLog {
  private static final Logger log = LoggerFactory.getLogger(ReplicatedLog.class);
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

  /** Longest wait for the hand-over of the vote; leaves time to stop within the grace period. */
  private static final long HAND_OVER_TIMEOUT_MILLIS = 350;

  private static final Duration TRANSFER_POLL_INTERVAL = Duration.ofMillis(5);

  private final ReplicatedLogOptions options;
  private final LogListener listener;
  private final StateMachine stateMachine;
  // Separate pools of one thread: a task in a pool of two wakes both threads.
  private final WorkerPool workers = new WorkerPool("log", 1);
  private final WorkerPool snapshotWorkers = new WorkerPool("log-snapshot", 1);
  private final SerialLoop loop;
  private final TickTimer tickTimer;
  private final PendingRequests pending;
  private final ReplicaHost replica;
  private final LeaderWaitQueue leaderWaitQueue = new LeaderWaitQueue();
  // Used only on the serial loop.
  private long nextReadId;
  private boolean closed;
  // Written on the serial loop, read from any thread.
  private volatile LogStatus status = LogStatus.NONE;
  private volatile AlderyardException failure;

  ReplicatedLog(ReplicatedLogBuilder builder) {
    options = builder.options;
    listener = builder.listener;
    stateMachine = builder.stateMachine;
    pending = new PendingRequests(builder.callbacks);
    loop = new SerialLoop(workers, this::flush, this::fail);
    try {
      replica = new ReplicaHost(builder, loop, workers, snapshotWorkers, pending);
    } catch (RuntimeException openFailure) {
      workers.close();
      snapshotWorkers.close();
      throw openFailure;
    }
    tickTimer = new TickTimer(workers::schedule, replica::nowMillis, this::tick);
    // An empty step: the flush that follows it schedules the first tick.
    loop.submit(() -> {});
  }

  /** Returns a builder with default options and the system clock. */
  public static ReplicatedLogBuilder builder() {
    return new ReplicatedLogBuilder();
  }

  /** Reads the clock before the step is queued, so that a slow sync does not count as silence. */
  private void tick() {
    long nowMillis = replica.nowMillis();
    loop.submitOnExecutor(
        () -> {
          tickTimer.clear();
          replica.tick(nowMillis);
        });
  }

  private void flush() {
    if (closed) {
      return;
    }
    replica.performEffects();
    tickTimer.setNext(replica.nextTickMillis());
    LogStatus before = status;
    LogStatus now = replica.status();
    status = now;
    leaderWaitQueue.setLeaderKnown(now.isLeaderKnown());
    if (now.lostLeadershipSince(before)) {
      pending.failAll(LogFailures.leadershipLost(), LogFailures.notLeader(status, options));
    }
    if (before.established() != now.established() || before.term() != now.term()) {
      log.info(
          "event=term-changed term={} leading={} leader={}",
          now.term(),
          now.established(),
          now.leader().map(HostId::value).orElse("none"));
    }
    if (before.established() && now.lostLeadershipSince(before)) {
      listener.onLeadershipChange(before.term(), false);
    }
    if (now.established() && !(before.established() && before.term() == now.term())) {
      listener.onLeadershipChange(now.term(), true);
    }
  }

  /**
   * Stops the log permanently after a failure of the disk, the state machine or the runtime, such
   * as a full heap. Nothing is retried, since the state on the disk or in memory may be wrong.
   */
  private void fail(Throwable cause) {
    if (closed) {
      return;
    }
    closed = true;
    loop.stop();
    status = LogStatus.NONE;
    AlderyardException error = Futures.toAlderyardException(cause);
    failure = error;
    // The steps allocate memory, which may fail again; the listener must be notified nevertheless.
    try {
      replica.close();
    } finally {
      try {
        log.error("event=log-stopped reason=\"{}\"", error.getMessage(), cause);
        pending.failAll(
            AlderyardException.unknown(
                error.code(), "the log stopped: " + error.getMessage(), error),
            stopped());
      } finally {
        listener.onFailure(error);
      }
    }
  }

  @Override
  public CompletableFuture<ByteString> propose(ByteString command) {
    if (command.size() > options.maxCommandBytes()) {
      return CompletableFuture.failedFuture(LogFailures.tooLarge(command.size(), options));
    }
    try {
      stateMachine.check(command);
    } catch (EntryRefusedException refused) {
      return CompletableFuture.failedFuture(refused);
    }
    return runOnLoop(future -> propose(command, future));
  }

  private void propose(ByteString command, CompletableFuture<ByteString> future) {
    if (pending.size() >= options.maxPending()) {
      future.completeExceptionally(LogFailures.overloaded(pending.size(), options));
      return;
    }
    Optional<RaftCore> core = replica.core();
    OptionalLong index = core.map(c -> c.propose(command)).orElse(OptionalLong.empty());
    if (index.isEmpty()) {
      future.completeExceptionally(LogFailures.notLeader(status, options));
      return;
    }
    pending.addProposal(index.getAsLong(), core.get().term(), future);
  }

  @Override
  public CompletableFuture<Void> readBarrier() {
    return runOnLoop(
        future -> {
          nextReadId++;
          long readId = nextReadId;
          if (replica.core().filter(core -> core.requestRead(readId)).isEmpty()) {
            future.completeExceptionally(LogFailures.notLeader(status, options));
            return;
          }
          pending.addRead(readId, future);
        });
  }

  /** Proposes a single membership change; the future returns whether this host accepted it. */
  public CompletableFuture<Verdict> changeMembership(MembershipChange change) {
    return runOnLoop(
        future -> {
          Verdict verdict =
              replica.core().map(core -> core.changeMembership(change)).orElse(Verdict.NOT_LEADER);
          log.info("event=membership-change change=\"{}\" verdict={}", change, verdict);
          future.complete(verdict);
        });
  }

  /**
   * Transfers leadership to the voter with the highest replicated index; the future returns whether
   * the transfer was started.
   */
  @Override
  public CompletableFuture<Boolean> transferLeadership() {
    return runOnLoop(
        future ->
            future.complete(replica.core().map(ReplicatedLog::transferLeadership).orElse(false)));
  }

  private static boolean transferLeadership(RaftCore core) {
    Optional<Long> target =
        core.membership().voters().stream().max(Comparator.comparing(core::matchIndex));
    return target.isPresent() && core.handOver(target.get());
  }

  private <T> CompletableFuture<T> runOnLoop(Consumer<CompletableFuture<T>> step) {
    CompletableFuture<T> future = new CompletableFuture<>();
    long nowMillis = replica.nowMillis();
    if (!loop.submit(() -> runUnlessClosed(step, future, nowMillis))) {
      future.completeExceptionally(stopped());
    }
    return future;
  }

  private <T> void runUnlessClosed(
      Consumer<CompletableFuture<T>> step, CompletableFuture<T> future, long nowMillis) {
    if (closed) {
      future.completeExceptionally(stopped());
      return;
    }
    replica.advanceTo(nowMillis);
    step.accept(future);
  }

  private AlderyardException stopped() {
    return LogFailures.stopped(Optional.ofNullable(failure));
  }

  @Override
  public boolean isLeader() {
    return status.established();
  }

  @Override
  public Optional<HostId> leader() {
    return status.leader();
  }

  @Override
  public CompletableFuture<Void> whenLeaderKnown(Duration timeout) {
    return leaderWaitQueue.awaitLeader(timeout);
  }

  @Override
  public long term() {
    return status.term();
  }

  @Override
  public List<InetSocketAddress> memberAddresses() {
    return status.membership().members().stream()
        .flatMap(member -> Addresses.parse(member.getAddress()).stream())
        .toList();
  }

  /** Returns the status as of the last step of this host; never blocks. */
  public LogStatus status() {
    return status;
  }

  /**
   * Transfers leadership if this host is the leader, hands its vote over to a learner if there is
   * one, then stops.
   */
  @Override
  public void close() {
    replica.abandonWrites();
    if (status.elected()) {
      awaitLeadershipTransfer();
    }
    awaitVoteHandOver();
    stop();
  }

  private void awaitVoteHandOver() {
    CompletableFuture<CompletableFuture<Replacement>> handOver =
        runOnLoop(
            future -> future.complete(replica.handOverVote(workers, HAND_OVER_TIMEOUT_MILLIS)));
    // Bounded from outside too: the step does not run while the disk hangs.
    handOver
        .thenCompose(result -> result)
        .completeOnTimeout(
            Replacement.REPLACEMENT_UNKNOWN, 2 * HAND_OVER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .exceptionally(failure -> Replacement.REPLACEMENT_UNKNOWN)
        .join();
  }

  private void awaitLeadershipTransfer() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    var poll =
        workers.scheduleRepeatedly(
            TRANSFER_POLL_INTERVAL,
            () -> {
              if (!status.elected()) {
                done.complete(null);
              }
            });
    transferLeadership();
    done.completeOnTimeout(null, options.raft().electionTimeoutMaxMillis(), TimeUnit.MILLISECONDS)
        .join();
    poll.cancel();
  }

  /** Stops immediately without a leadership transfer, as in a crash. */
  public void stop() {
    replica.abandonWrites();
    CompletableFuture<Void> done = new CompletableFuture<>();
    boolean running = loop.submit(() -> stopOnLoop(done));
    loop.stop();
    if (running) {
      done.completeOnTimeout(null, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).join();
    }
    workers.close();
    snapshotWorkers.close();
  }

  private void stopOnLoop(CompletableFuture<Void> done) {
    closed = true;
    status = LogStatus.NONE;
    pending.failAll(LogFailures.leadershipLost(), stopped());
    replica.close();
    done.complete(null);
  }
}
